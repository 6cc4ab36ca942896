package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Judges a backend server by the requests that it failed, not by its health checks.
 *
 * <p>Answers load with grey failures: a server that fails, resets or never answers part of its
 * requests while its health check passes. Consecutive failures suspend the server for a time that
 * doubles; the next request after the suspension is the trial.
 */
public final class ServerHealth {
  /** Failures in a row that suspend a server: a single broken answer is no pattern. */
  private static final int FAILURES_TO_SUSPEND = 2;

  /** First suspension, about the time in which a crashed server is removed from the directory. */
  private static final long FIRST_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Longest suspension, so that a server that recovered is used again within seconds. */
  private static final long LONGEST_SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Weight of a new sample in the moving failure rate. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private int failuresInARow;
  private double failureRate;
  private long suspendedUntilNanos;
  private boolean suspended;

  /** Records a request that the server completed. */
  public void recordSuccess() {
    failuresInARow = 0;
    suspended = false;
    failureRate -= SAMPLE_WEIGHT * failureRate;
  }

  /** Records a request that the server failed, reset or did not answer. */
  public void recordFailure(long nowNanos) {
    failuresInARow++;
    failureRate += SAMPLE_WEIGHT * (1 - failureRate);
    if (failuresInARow < FAILURES_TO_SUSPEND) {
      return;
    }
    int doublings = Math.min(3, failuresInARow - FAILURES_TO_SUSPEND);
    suspend(nowNanos, Math.min(LONGEST_SUSPENSION_NANOS, FIRST_SUSPENSION_NANOS << doublings));
  }

  /** Records that no connection could be opened; the server is suspended at once. */
  public void recordUnreachable(long nowNanos) {
    failuresInARow++;
    suspend(nowNanos, FIRST_SUSPENSION_NANOS);
  }

  private void suspend(long nowNanos, long duration) {
    suspended = true;
    suspendedUntilNanos = nowNanos + duration;
  }

  /** Whether the server should get no requests now. */
  public boolean suspended(long nowNanos) {
    return suspended && suspendedUntilNanos - nowNanos > 0;
  }

  /** Moving share of failed requests, 0 to 1. */
  public double failureRate() {
    return failureRate;
  }
}
