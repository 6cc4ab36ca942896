package org.basilport.bench.load;

import org.HdrHistogram.Histogram;

/**
 * Measurements of one path: through the daemon or directly from the engines.
 *
 * @param started number of requests sent
 * @param completed number of streams that ended with all their tokens in order
 * @param failed number of streams that ended with an error or a lost connection
 * @param faulty number of streams with a missing or repeated token, or one of another generation
 * @param tokens number of tokens received
 * @param firstToken time from the planned send time to the first token, in nanoseconds
 * @param betweenTokens time between consecutive events of a stream, in nanoseconds
 */
public record PathResult(
    long started,
    long completed,
    long failed,
    long faulty,
    long tokens,
    Histogram firstToken,
    Histogram betweenTokens) {}
