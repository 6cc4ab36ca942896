package org.basilport.bench.load;

import org.HdrHistogram.Histogram;

/**
 * What one path measured.
 *
 * @param started requests that were sent
 * @param completed streams that ended with all their tokens in order
 * @param failed streams that ended with an error or a lost connection
 * @param faulty streams with a missing, repeated or foreign token
 * @param tokens tokens that were received
 * @param firstToken time from the planned send time to the first token, in nanoseconds
 * @param betweenTokens time between two events of a stream, in nanoseconds
 */
public record PathResult(
    long started,
    long completed,
    long failed,
    long faulty,
    long tokens,
    Histogram firstToken,
    Histogram betweenTokens) {}
