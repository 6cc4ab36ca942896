package org.basilport.bench.load;

import java.time.Duration;

/**
 * Size of a load run.
 *
 * @param engines number of stand-in engines
 * @param requestsPerSecond planned requests a second on each path
 * @param tokens tokens of each answer
 * @param step time between the tokens of an engine
 * @param warmUp time before the measured window
 * @param window measured time
 * @param openStreams streams that are held open to measure heap; 0 to measure latency
 */
public record LoadSettings(
    int engines,
    double requestsPerSecond,
    int tokens,
    Duration step,
    Duration warmUp,
    Duration window,
    int openStreams) {}
