package org.basilport.bench.load;

import java.time.Duration;

/**
 * Settings of a fault run with real processes.
 *
 * @param daemons number of daemon processes, at least 3
 * @param duration duration of fault injection
 * @param seed seed of the random choice of faults
 * @param streamCallers number of threads that read streams
 * @param callCallers number of threads that send non-repeatable calls
 */
public record ProcessFaultSettings(
    int daemons, Duration duration, long seed, int streamCallers, int callCallers) {}
