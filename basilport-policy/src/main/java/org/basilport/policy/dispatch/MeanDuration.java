package org.basilport.policy.dispatch;

/** Mean time for which the requests of a service are outstanding. */
public final class MeanDuration {
  /** Weight of a new sample in the exponential moving average. */
  private static final double SAMPLE_WEIGHT = 0.02;

  private double nanos;

  /** Records the time from sending a request to its end. */
  public void record(long durationNanos) {
    nanos = nanos == 0 ? durationNanos : nanos + SAMPLE_WEIGHT * (durationNanos - nanos);
  }

  /** Mean time in nanoseconds; 0 before the first request has ended. */
  public long nanos() {
    return (long) nanos;
  }
}
