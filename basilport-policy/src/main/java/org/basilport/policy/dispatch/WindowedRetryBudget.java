package org.basilport.policy.dispatch;

import java.util.ArrayDeque;

/**
 * Limits the requests that one instance sends to a service again, within a sliding window.
 *
 * <p>All instances together may send a share of the requests of the window plus a fixed number. An
 * instance uses the share of its own requests and an equal part of the fixed number, so the sum
 * holds without a message, also when the instances do not reach each other.
 */
public final class WindowedRetryBudget {
  /** Part of the limit that is used, since windows of the instances are not aligned. */
  private static final double SAFETY_SHARE = 0.8;

  private final double ratio;
  private final double fixedRetries;
  private final long windowNanos;
  private final ArrayDeque<Long> requests = new ArrayDeque<>();
  private final ArrayDeque<Long> retries = new ArrayDeque<>();

  /**
   * Creates an unused budget.
   *
   * @param ratio retries per request of the window
   * @param fixedRetries retries per window beyond the ratio, for all instances together
   */
  public WindowedRetryBudget(double ratio, double fixedRetries, long windowNanos) {
    this.ratio = ratio;
    this.fixedRetries = fixedRetries;
    this.windowNanos = windowNanos;
  }

  /** Counts a request of a caller. */
  public void recordRequest(long nowNanos) {
    expire(requests, nowNanos);
    requests.addLast(nowNanos);
  }

  /**
   * Takes a retry if the budget allows it.
   *
   * @param instances number of instances that share the fixed part
   */
  public boolean tryRetry(int instances, long nowNanos) {
    expire(requests, nowNanos);
    expire(retries, nowNanos);
    double limit = ratio * requests.size() + fixedRetries / Math.max(1, instances);
    if (retries.size() + 1 > SAFETY_SHARE * limit) {
      return false;
    }
    retries.addLast(nowNanos);
    return true;
  }

  private void expire(ArrayDeque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.removeFirst();
    }
  }
}
