package org.basilport.bench.load;

import java.time.Duration;

/**
 * Size of a run of real processes.
 *
 * @param daemons number of daemon processes, at least 3
 * @param duration time during which faults are injected
 * @param seed seed of the choice of faults
 * @param streamCallers threads that read streams
 * @param callCallers threads that send calls that may not be repeated
 */
public record ProcessFaultSettings(
    int daemons, Duration duration, long seed, int streamCallers, int callCallers) {}
