package org.basilport.bench.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Thread-safe latencies and counts of the streams of one path. */
final class StreamStatistics {
  private static final long MAX_LATENCY_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final int SIGNIFICANT_DIGITS = 3;

  private final Histogram firstTokenNanos =
      new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
  private final Histogram betweenTokenNanos =
      new ConcurrentHistogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
  private final LongAdder startedStreams = new LongAdder();
  private final LongAdder receivingStreams = new LongAdder();
  private final LongAdder completedStreams = new LongAdder();
  private final LongAdder failedStreams = new LongAdder();
  private final LongAdder faultyStreams = new LongAdder();
  private final LongAdder receivedTokens = new LongAdder();
  private volatile boolean measuring;

  /** Starts or ends the measured window, in which latencies are recorded. */
  void setMeasuring(boolean active) {
    measuring = active;
  }

  void recordStarted() {
    startedStreams.increment();
  }

  /**
   * Records the first token of a stream.
   *
   * @param nanos time since the planned send time of the request, in nanoseconds
   */
  void recordFirstToken(long nanos) {
    receivingStreams.increment();
    if (measuring) {
      firstTokenNanos.recordValue(Math.min(nanos, MAX_LATENCY_NANOS));
    }
  }

  /** Records the time since the previous event of the same stream, in nanoseconds. */
  void recordNextToken(long nanos) {
    if (measuring) {
      betweenTokenNanos.recordValue(Math.min(nanos, MAX_LATENCY_NANOS));
    }
  }

  void recordTokens(int count) {
    receivedTokens.add(count);
  }

  void recordCompleted() {
    completedStreams.increment();
  }

  void recordFailed() {
    failedStreams.increment();
  }

  /** Counts a stream with a missing or repeated token, or one of another generation. */
  void recordFaulty() {
    faultyStreams.increment();
  }

  /** Returns the number of streams that have received at least one token. */
  long receivingCount() {
    return receivingStreams.sum();
  }

  long tokenCount() {
    return receivedTokens.sum();
  }

  long completedCount() {
    return completedStreams.sum();
  }

  long startedCount() {
    return startedStreams.sum();
  }

  long failedCount() {
    return failedStreams.sum();
  }

  /** Returns whether all started streams have ended. */
  boolean allEnded() {
    return completedStreams.sum() + failedStreams.sum() + faultyStreams.sum()
        >= startedStreams.sum();
  }

  PathResult result() {
    return new PathResult(
        startedStreams.sum(),
        completedStreams.sum(),
        failedStreams.sum(),
        faultyStreams.sum(),
        receivedTokens.sum(),
        firstTokenNanos.copy(),
        betweenTokenNanos.copy());
  }
}
