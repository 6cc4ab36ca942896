package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Time for which a server wants no request of this instance.
 *
 * <p>The load it answers: a server in need turns requests away and names the same end to hundreds
 * of instances, of which each has requests waiting. After the end, each instance therefore sends
 * one request, and the others only after the server has answered without a new pause.
 */
public final class ServerPause {
  /** Time after which the first request after a pause does not hold back others any more. */
  private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Change of the end that is reported; the answers to one burst name nearly the same end. */
  private static final long SIGNIFICANT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private enum Phase {
    NONE,
    PAUSED,
    PROBING
  }

  private Phase phase = Phase.NONE;
  private long endNanos;
  private long probeSentNanos;

  /**
   * Begins or lengthens the pause; an earlier end than the known one has no effect.
   *
   * @return whether the server pauses now, or significantly longer, through this
   */
  public boolean pauseUntil(long untilNanos, long nowNanos) {
    long leftNanos = untilNanos - nowNanos;
    long knownNanos = nanosToEnd(nowNanos);
    if (leftNanos <= knownNanos) {
      return false;
    }
    phase = Phase.PAUSED;
    endNanos = untilNanos;
    return knownNanos == 0 || leftNanos - knownNanos > SIGNIFICANT_NANOS;
  }

  /** Time until the end of the pause; 0 if there is none. */
  public long nanosToEnd(long nowNanos) {
    return phase == Phase.PAUSED ? Math.max(0, endNanos - nowNanos) : 0;
  }

  /** Whether a request may be placed now: there is no pause, or it is the first one after it. */
  public boolean permits(long nowNanos) {
    return nanosToEnd(nowNanos) == 0
        && (phase != Phase.PROBING || nowNanos - probeSentNanos > PROBE_NANOS);
  }

  /** Records that a request is placed at the server. */
  public void recordPlaced(long nowNanos) {
    if (phase != Phase.NONE) {
      phase = Phase.PROBING;
      probeSentNanos = nowNanos;
    }
  }

  /**
   * Records an answer that names no pause. It does not end a pause, which the server has asked for
   * until its end.
   *
   * @return whether further requests are permitted through this
   */
  public boolean recordAnswer(long nowNanos) {
    if (phase == Phase.NONE || nanosToEnd(nowNanos) > 0) {
      return false;
    }
    phase = Phase.NONE;
    return true;
  }
}
