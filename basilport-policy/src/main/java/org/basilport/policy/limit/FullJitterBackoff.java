package org.basilport.policy.limit;

import java.util.SplittableRandom;

/**
 * Delays that are drawn evenly between zero and a bound that doubles with each attempt.
 *
 * <p>Callers that failed together would otherwise come back together.
 */
public final class FullJitterBackoff {
  private static final int LARGEST_SHIFT = 30;

  private final long baseMillis;
  private final long limitMillis;
  private final SplittableRandom random;

  /** Creates a backoff with the first and the largest bound, in milliseconds. */
  public FullJitterBackoff(long baseMillis, long limitMillis, SplittableRandom random) {
    this.baseMillis = baseMillis;
    this.limitMillis = limitMillis;
    this.random = random;
  }

  /** Returns the delay before a retry, in milliseconds; the first retry is number 1. */
  public long delayMillis(int retry) {
    int shift = Math.min(LARGEST_SHIFT, Math.max(0, retry - 1));
    long bound = Math.min(limitMillis, baseMillis << shift);
    return random.nextLong(bound + 1);
  }
}
