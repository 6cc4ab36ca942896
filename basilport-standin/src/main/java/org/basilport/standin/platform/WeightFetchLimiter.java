package org.basilport.standin.platform;

import java.time.Duration;

/** Token bucket that limits the rate of weight fetches. */
final class WeightFetchLimiter {
  private final int burst;
  private final long refillNanos;
  private double tokens;
  private long lastNanos;

  WeightFetchLimiter(int burst, Duration refill, long nowNanos) {
    this.burst = burst;
    this.refillNanos = refill.toNanos();
    this.tokens = burst;
    this.lastNanos = nowNanos;
  }

  /** Takes a token and returns zero, or returns the time until a token is available. */
  Duration tryAcquire(long nowNanos) {
    tokens = Math.min(burst, tokens + (double) (nowNanos - lastNanos) / refillNanos);
    lastNanos = nowNanos;
    if (tokens >= 1) {
      tokens -= 1;
      return Duration.ZERO;
    }
    return Duration.ofNanos(Math.max(1, (long) Math.ceil((1 - tokens) * refillNanos)));
  }
}
