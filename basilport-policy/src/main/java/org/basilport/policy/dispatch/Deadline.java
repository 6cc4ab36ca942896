package org.basilport.policy.dispatch;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Point in time on two clocks after which nobody waits for a response.
 *
 * <p>The monotonic clock stands still on a suspended machine, so a time of day that has advanced
 * further counts. A time of day that was set forward therefore ends a request too early; it has not
 * been sent then.
 */
public final class Deadline {
  /** Difference between the clocks that adjustment and rounding can explain. */
  private static final long CLOCK_TOLERANCE_MILLIS = 250;

  private final long endNanos;
  private final long endWallMillis;

  /** Creates a deadline at a time after now. */
  public Deadline(long nowNanos, long nowWallMillis, Duration limit) {
    this.endNanos = nowNanos + limit.toNanos();
    this.endWallMillis = nowWallMillis + limit.toMillis();
  }

  /** Time until the deadline; negative after it. */
  public Duration remaining(long nowNanos, long nowWallMillis) {
    long wallMillis = endWallMillis + CLOCK_TOLERANCE_MILLIS - nowWallMillis;
    return Duration.ofNanos(
        Math.min(endNanos - nowNanos, TimeUnit.MILLISECONDS.toNanos(wallMillis)));
  }
}
