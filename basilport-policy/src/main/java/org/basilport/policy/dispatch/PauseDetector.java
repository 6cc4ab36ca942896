package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Detects that a process did not run for a while, from the distance between periodic ticks.
 *
 * <p>The load it answers: instances that are frozen or suspended. Bytes that arrived meanwhile are
 * read before expired timers run, although their senders may have given up. The monotonic clock
 * stands still on a suspended machine, so an advance of the time of day counts as well. Confined to
 * one thread.
 */
public final class PauseDetector {
  private final long thresholdNanos;
  private boolean ticked;
  private long tickNanos;
  private long tickWallMillis;

  /**
   * Creates a detector without a tick.
   *
   * @param thresholdNanos time since the last tick above which the process was paused; several tick
   *     intervals
   */
  public PauseDetector(long thresholdNanos) {
    this.thresholdNanos = thresholdNanos;
  }

  /**
   * Time since the last tick if the process was paused, in nanoseconds; 0 if it was not.
   *
   * @param nowNanos monotonic time
   * @param nowWallMillis time of day
   */
  public long pauseNanos(long nowNanos, long nowWallMillis) {
    if (!ticked) {
      return 0;
    }
    long monotonic = nowNanos - tickNanos;
    long wall = TimeUnit.MILLISECONDS.toNanos(nowWallMillis - tickWallMillis);
    long pause = Math.max(monotonic, wall);
    return pause > thresholdNanos ? pause : 0;
  }

  /** Records a tick and returns the pause before it, in nanoseconds; 0 if there was none. */
  public long tick(long nowNanos, long nowWallMillis) {
    long pause = pauseNanos(nowNanos, nowWallMillis);
    ticked = true;
    tickNanos = nowNanos;
    tickWallMillis = nowWallMillis;
    return pause;
  }
}
