package org.basilport.bench.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Latencies and counts of the streams of one path; may be updated from any thread. */
final class StreamStatistics {
  private static final long HIGHEST_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final int DIGITS = 3;

  private final Histogram firstToken = new ConcurrentHistogram(HIGHEST_NANOS, DIGITS);
  private final Histogram betweenTokens = new ConcurrentHistogram(HIGHEST_NANOS, DIGITS);
  private final LongAdder started = new LongAdder();
  private final LongAdder reading = new LongAdder();
  private final LongAdder completed = new LongAdder();
  private final LongAdder failed = new LongAdder();
  private final LongAdder faulty = new LongAdder();
  private final LongAdder tokens = new LongAdder();
  private volatile boolean measuring;

  /** Starts or ends the window in which latencies are recorded. */
  void measure(boolean wanted) {
    measuring = wanted;
  }

  void started() {
    started.increment();
  }

  /** Records the first token of a stream, counted from the planned time of its request. */
  void firstToken(long nanos) {
    reading.increment();
    if (measuring) {
      firstToken.recordValue(Math.min(nanos, HIGHEST_NANOS));
    }
  }

  /** Records the time since the previous event of the same stream. */
  void nextToken(long nanos) {
    if (measuring) {
      betweenTokens.recordValue(Math.min(nanos, HIGHEST_NANOS));
    }
  }

  void tokens(int count) {
    tokens.add(count);
  }

  void completed() {
    completed.increment();
  }

  void failed() {
    failed.increment();
  }

  /** Counts a stream with a missing, repeated or foreign token. */
  void faulty() {
    faulty.increment();
  }

  /** Streams that have received a token. */
  long readingCount() {
    return reading.sum();
  }

  long tokenCount() {
    return tokens.sum();
  }

  long completedCount() {
    return completed.sum();
  }

  long startedCount() {
    return started.sum();
  }

  long failedCount() {
    return failed.sum();
  }

  /** Whether all streams that were started have ended. */
  boolean allEnded() {
    return completed.sum() + failed.sum() + faulty.sum() >= started.sum();
  }

  PathResult result() {
    return new PathResult(
        started.sum(),
        completed.sum(),
        failed.sum(),
        faulty.sum(),
        tokens.sum(),
        firstToken.copy(),
        betweenTokens.copy());
  }
}
