package org.basilport.policy.limit;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Exponential backoff with full jitter: delays are uniform between zero and a bound that doubles
 * with each attempt.
 *
 * <p>The jitter keeps callers that failed together from retrying together. Thread-safe.
 */
public final class FullJitterBackoff {
  /** Largest shift of the first bound, so that doubling it does not overflow. */
  private static final int MAX_SHIFT = 30;

  private final long baseMillis;
  private final long limitMillis;
  private final SplittableRandom random;

  /** Creates a backoff with the first and the largest bound. */
  public FullJitterBackoff(Duration base, Duration limit, SplittableRandom random) {
    this(base.toMillis(), limit.toMillis(), random);
  }

  /** Creates a backoff with the first and the largest bound, in milliseconds. */
  public FullJitterBackoff(long baseMillis, long limitMillis, SplittableRandom random) {
    this.baseMillis = baseMillis;
    this.limitMillis = limitMillis;
    this.random = random;
  }

  /** Returns the delay before a retry, in milliseconds; the first retry is number 1. */
  public synchronized long delayMillis(int retry) {
    int shift = Math.min(MAX_SHIFT, Math.max(0, retry - 1));
    long bound = Math.min(limitMillis, baseMillis << shift);
    return random.nextLong(bound + 1);
  }

  /** Returns the delay before a retry; the first retry is number 1. */
  public Duration delay(int retry) {
    return Duration.ofMillis(delayMillis(retry));
  }
}
