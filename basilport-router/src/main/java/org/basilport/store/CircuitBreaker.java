package org.basilport.store;

import java.time.Duration;
import java.util.SplittableRandom;

/** Stops calls after repeated failures and permits one probe after each backoff. */
final class CircuitBreaker {
  private static final int FAILURES_TO_OPEN = 3;
  private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(200).toNanos();
  private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(10).toNanos();
  private static final int MAX_DOUBLINGS = 6;

  private final SplittableRandom random;
  private int failures;
  private int consecutiveOpenings;
  private boolean open;
  private boolean probing;
  private long openedAtNanos;
  private long nextProbeNanos;

  CircuitBreaker(SplittableRandom random) {
    this.random = random;
  }

  boolean isOpen() {
    return open;
  }

  /** Returns whether a call may be sent now; an open breaker permits a single probe. */
  boolean tryAcquire(long now, boolean mayProbe) {
    if (!open) {
      return true;
    }
    if (!mayProbe || probing || now - nextProbeNanos < 0) {
      return false;
    }
    probing = true;
    return true;
  }

  /** Returns the time until the next probe, in nanoseconds. */
  long nanosToProbe(long now) {
    return Math.max(0, nextProbeNanos - now);
  }

  /**
   * Records a success; returns how long the breaker was open in nanoseconds, 0 if it was closed.
   */
  long recordSuccess(long now) {
    long openNanos = open ? now - openedAtNanos : 0;
    open = false;
    probing = false;
    failures = 0;
    consecutiveOpenings = 0;
    return openNanos;
  }

  /** Records a failure and opens the breaker after repeated failures or a failed probe. */
  void recordFailure(long now, boolean probe) {
    failures++;
    if (open && !probe) {
      return;
    }
    if (open || failures >= FAILURES_TO_OPEN) {
      openedAtNanos = open ? openedAtNanos : now;
      open = true;
      probing = false;
      long backoffNanos = MIN_BACKOFF_NANOS << Math.min(consecutiveOpenings, MAX_DOUBLINGS);
      nextProbeNanos = now + random.nextLong(Math.min(backoffNanos, MAX_BACKOFF_NANOS)) + 1;
      consecutiveOpenings++;
    }
  }
}
