package org.basilport.policy.limit;

/**
 * Token bucket that is refilled at a constant rate.
 *
 * <p>Not thread-safe.
 */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  private double ratePerSecond;
  private double burst;
  private double available;
  private long refilledAtNanos;

  /**
   * Creates a full bucket.
   *
   * @param ratePerSecond refill rate, in tokens per second
   * @param burst size of the bucket, in tokens
   */
  public TokenBucket(double ratePerSecond, double burst, long nowNanos) {
    this.ratePerSecond = ratePerSecond;
    this.burst = burst;
    this.available = burst;
    this.refilledAtNanos = nowNanos;
  }

  /** Takes tokens; returns false, without taking any, when there are not enough. */
  public boolean tryTake(double tokens, long nowNanos) {
    refill(nowNanos);
    if (tokens > available) {
      return false;
    }
    available -= tokens;
    return true;
  }

  /**
   * Changes the rate and the size, for example when the number of live instances that share a limit
   * changes.
   */
  public void resize(double newRatePerSecond, double newBurst, long nowNanos) {
    refill(nowNanos);
    ratePerSecond = newRatePerSecond;
    burst = newBurst;
    available = Math.min(available, burst);
  }

  /** Returns the time until the given number of tokens is available, in milliseconds. */
  public long waitMillis(double tokens, long nowNanos) {
    refill(nowNanos);
    double missing = Math.min(tokens, burst) - available;
    return missing <= 0 ? 0 : (long) Math.ceil(missing / ratePerSecond * MILLIS_PER_SECOND);
  }

  private void refill(long nowNanos) {
    if (nowNanos > refilledAtNanos) {
      double seconds = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
      available = Math.min(burst, available + seconds * ratePerSecond);
      refilledAtNanos = nowNanos;
    }
  }
}
