package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Estimate of the speed of one backend server, relative to the other servers of its service.
 *
 * <p>Load: servers of 0.7 to 1.7 of the usual speed, on machines that others slow down 2.5 times in
 * 15% of the time. The long-term speed comes from response times, which are corrected by the
 * temporary slowdown that the server states in its responses.
 */
public final class ServerSpeed {
  /** Age from which a value says nothing. */
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time for which a machine is usually slowed down without a change. */
  private static final long SLOWDOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Weight of the usual speed in samples; it keeps single odd response times without effect. */
  private static final double USUAL_SPEED_SAMPLES = 4;

  /** Largest response time of a sample, relative to the usual one. */
  private static final double MAX_RELATIVE_TIME = 3;

  private double samples;
  private double summedTimes;
  private long sampleNanos;
  private double slowdown = 1;
  private long slowdownNanos;

  /** Records the temporary slowdown that a response states, in percent; 100 is none. */
  public void observeSlowdown(int percent, long nowNanos) {
    slowdown = percent / 100.0;
    slowdownNanos = nowNanos;
  }

  /**
   * Returns a response time as it would be without the temporary slowdown of the server. This is
   * the only place where times are corrected.
   */
  public double withoutSlowdown(double time, long nowNanos) {
    return time / slowdown(nowNanos);
  }

  /**
   * Records a response time.
   *
   * @param relativeTime response time without the temporary slowdown, divided by the usual one of
   *     such requests; other values than positive numbers are ignored
   */
  public void observeTime(double relativeTime, long nowNanos) {
    if (!(relativeTime > 0) || Double.isInfinite(relativeTime)) {
      return;
    }
    double remaining = remainingShare(sampleNanos, MAX_AGE_NANOS, nowNanos);
    samples = samples * remaining + 1;
    summedTimes = summedTimes * remaining + Math.min(MAX_RELATIVE_TIME, relativeTime);
    sampleNanos = nowNanos;
  }

  /** Long-term speed; 1 is the usual one, also if the latest response is older than 5 s. */
  public double longTerm(long nowNanos) {
    double weight = remainingShare(sampleNanos, MAX_AGE_NANOS, nowNanos);
    return (USUAL_SPEED_SAMPLES + weight * samples) / (USUAL_SPEED_SAMPLES + weight * summedTimes);
  }

  /** Expected duration of work at this moment, relative to the usual one. */
  public double slowness(long nowNanos) {
    return slowdown(nowNanos) / longTerm(nowNanos);
  }

  /** Temporary slowdown that is expected now; it is the less known the older its value is. */
  public double slowdown(long nowNanos) {
    return 1 + (slowdown - 1) * remainingShare(slowdownNanos, SLOWDOWN_NANOS, nowNanos);
  }

  private static double remainingShare(long atNanos, long durationNanos, long nowNanos) {
    return Math.max(0, 1 - (double) (nowNanos - atNanos) / durationNanos);
  }
}
