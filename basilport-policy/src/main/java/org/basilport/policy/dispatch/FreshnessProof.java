package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Time of the last proof that the configuration in force is the newest one.
 *
 * <p>A proof is the start of a linearizable read that came back; what changed after that moment may
 * be unknown. The monotonic clock stands still while a machine is suspended and the time of day
 * jumps, so a proof counts only while both clocks agree on its age. Safe to use from any thread.
 */
public final class FreshnessProof {
  /** Difference between the clocks that is explained by adjustment and rounding. */
  private static final long CLOCK_TOLERANCE_MILLIS = 250;

  private boolean known;
  private long monotonicNanos;
  private long wallMillis;

  /** Records a read that came back, with both clocks at its start. */
  public synchronized void record(long startNanos, long startWallMillis) {
    if (known && startNanos - monotonicNanos < 0) {
      return;
    }
    known = true;
    monotonicNanos = startNanos;
    wallMillis = startWallMillis;
  }

  /** Age of the proof in milliseconds; {@link Long#MAX_VALUE} when there is none that counts. */
  public synchronized long ageMillis(long nowNanos, long nowWallMillis) {
    if (!known) {
      return Long.MAX_VALUE;
    }
    long monotonicAge = TimeUnit.NANOSECONDS.toMillis(nowNanos - monotonicNanos);
    long wallAge = nowWallMillis - wallMillis;
    if (Math.abs(monotonicAge - wallAge) > CLOCK_TOLERANCE_MILLIS) {
      return Long.MAX_VALUE;
    }
    return Math.max(monotonicAge, wallAge);
  }
}
