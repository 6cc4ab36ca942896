package org.basilport.policy.dispatch;

import java.util.ArrayDeque;

/**
 * Limits the retries of one instance for a service within a sliding window.
 *
 * <p>All instances together may send a share of the requests of the window plus a fixed number of
 * retries. Each instance uses the share of its own requests and an equal part of the fixed number,
 * so the limit holds without communication, even when the instances cannot reach each other.
 */
public final class WindowedRetryBudget {
  /** Share of the limit that is used, because the windows of the instances are not aligned. */
  private static final double USABLE_SHARE = 0.8;

  private final double ratio;
  private final double fixedRetries;
  private final long windowNanos;
  private final ArrayDeque<Long> requests = new ArrayDeque<>();
  private final ArrayDeque<Long> retries = new ArrayDeque<>();

  /**
   * Creates an unused budget.
   *
   * @param ratio retries per request in the window
   * @param fixedRetries additional retries per window, for all instances together
   * @param windowNanos length of the window, in nanoseconds
   */
  public WindowedRetryBudget(double ratio, double fixedRetries, long windowNanos) {
    this.ratio = ratio;
    this.fixedRetries = fixedRetries;
    this.windowNanos = windowNanos;
  }

  /** Counts the first attempt of a request. */
  public void recordRequest(long nowNanos) {
    expire(requests, nowNanos);
    requests.addLast(nowNanos);
  }

  /**
   * Takes a retry from the budget; returns false when the budget is exhausted.
   *
   * @param instances number of instances that share the fixed part
   */
  public boolean tryAcquireRetry(int instances, long nowNanos) {
    expire(requests, nowNanos);
    expire(retries, nowNanos);
    double limit = ratio * requests.size() + fixedRetries / Math.max(1, instances);
    if (retries.size() + 1 > USABLE_SHARE * limit) {
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
