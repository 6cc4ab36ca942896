package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Passive health check of a backend server, based on the outcome of its requests.
 *
 * <p>Detects grey failures: a server that fails, resets or never answers part of its requests while
 * its active health check passes. Consecutive failures suspend the server for a time that doubles
 * with each further failure; the first request after a suspension is the probe.
 */
public final class ServerHealth {
  /** Consecutive failures that suspend a server; a single failure is not conclusive. */
  private static final int FAILURES_TO_SUSPEND = 2;

  /** First suspension, about the time until a crashed server is removed from the directory. */
  private static final long FIRST_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Longest suspension, so that a recovered server is used again within seconds. */
  private static final long MAX_SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Weight of a new sample in the exponential moving average of the failure rate. */
  private static final double SAMPLE_WEIGHT = 0.1;

  private int consecutiveFailures;
  private double failureRate;
  private long suspendedUntilNanos;
  private boolean suspended;

  /** Records a request that the server completed. */
  public void recordSuccess() {
    consecutiveFailures = 0;
    suspended = false;
    failureRate -= SAMPLE_WEIGHT * failureRate;
  }

  /** Records a request that the server failed, reset or did not answer. */
  public void recordFailure(long nowNanos) {
    consecutiveFailures++;
    failureRate += SAMPLE_WEIGHT * (1 - failureRate);
    if (consecutiveFailures < FAILURES_TO_SUSPEND) {
      return;
    }
    int doublings = Math.min(3, consecutiveFailures - FAILURES_TO_SUSPEND);
    suspend(nowNanos, Math.min(MAX_SUSPENSION_NANOS, FIRST_SUSPENSION_NANOS << doublings));
  }

  /** Records that no connection could be opened; suspends the server at once. */
  public void recordUnreachable(long nowNanos) {
    consecutiveFailures++;
    suspend(nowNanos, FIRST_SUSPENSION_NANOS);
  }

  private void suspend(long nowNanos, long durationNanos) {
    suspended = true;
    suspendedUntilNanos = nowNanos + durationNanos;
  }

  /** Whether the server should receive no requests now. */
  public boolean suspended(long nowNanos) {
    return suspended && suspendedUntilNanos - nowNanos > 0;
  }

  /** Exponential moving average of the share of failed requests, between 0 and 1. */
  public double failureRate() {
    return failureRate;
  }
}
