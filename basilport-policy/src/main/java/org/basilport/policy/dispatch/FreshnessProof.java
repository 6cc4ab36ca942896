package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Time of the latest proof that the configuration in force is the latest one.
 *
 * <p>The time of a proof is the start of a linearizable read that succeeded; changes after it may
 * be unknown. The monotonic clock stops while a machine is suspended, and the wall clock may jump,
 * so a proof is valid only while both clocks agree on its age. Thread-safe.
 */
public final class FreshnessProof {
  /** Difference between the clocks that adjustment and rounding can explain. */
  private static final long CLOCK_TOLERANCE_MILLIS = 250;

  private boolean proven;
  private long monotonicNanos;
  private long wallMillis;

  /**
   * Records a successful read, with both clocks at its start; an older read than the latest is
   * ignored.
   */
  public synchronized void record(long startNanos, long startWallMillis) {
    if (proven && startNanos - monotonicNanos < 0) {
      return;
    }
    proven = true;
    monotonicNanos = startNanos;
    wallMillis = startWallMillis;
  }

  /** Age of the proof in milliseconds; {@link Long#MAX_VALUE} when there is no valid proof. */
  public synchronized long ageMillis(long nowNanos, long nowWallMillis) {
    if (!proven) {
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
