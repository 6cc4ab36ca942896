package org.basilport.bench.load;

import java.time.Duration;

/**
 * Settings of a load run.
 *
 * @param engines number of stand-in engines
 * @param requestsPerSecond planned requests per second on each path
 * @param tokens number of tokens per stream
 * @param step time between two tokens of an engine
 * @param warmUp time before the measured window
 * @param window length of the measured window
 * @param openStreams number of streams to hold open for heap measurement; 0 to measure latency
 */
public record LoadSettings(
    int engines,
    double requestsPerSecond,
    int tokens,
    Duration step,
    Duration warmUp,
    Duration window,
    int openStreams) {}
