package org.basilport.store;

import java.time.Duration;
import java.util.SplittableRandom;

/** Stops calls after repeated failures and lets one probe through after each pause. */
final class CircuitBreaker {
  private static final int FAILURES_TO_OPEN = 3;
  private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(200).toNanos();
  private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(10).toNanos();
  private static final int MAX_DOUBLINGS = 6;

  private final SplittableRandom random;
  private int failures;
  private int openings;
  private boolean open;
  private boolean probing;
  private long openedAt;
  private long retryAt;

  CircuitBreaker(SplittableRandom random) {
    this.random = random;
  }

  boolean isOpen() {
    return open;
  }

  /** Whether a call may be sent now; a permitted call of an open breaker is its only probe. */
  boolean permit(long now, boolean mayProbe) {
    if (!open) {
      return true;
    }
    if (!mayProbe || probing || now - retryAt < 0) {
      return false;
    }
    probing = true;
    return true;
  }

  /** Time until the next probe, in nanoseconds. */
  long nanosToProbe(long now) {
    return Math.max(0, retryAt - now);
  }

  /** A call succeeded; returns how long the breaker was open, 0 when it was closed. */
  long succeeded(long now) {
    long openNanos = open ? now - openedAt : 0;
    open = false;
    probing = false;
    failures = 0;
    openings = 0;
    return openNanos;
  }

  /** A call failed. */
  void failed(long now, boolean probe) {
    failures++;
    if (open && !probe) {
      return;
    }
    if (open || failures >= FAILURES_TO_OPEN) {
      openedAt = open ? openedAt : now;
      open = true;
      probing = false;
      long doubled = MIN_BACKOFF_NANOS << Math.min(openings, MAX_DOUBLINGS);
      retryAt = now + random.nextLong(Math.min(doubled, MAX_BACKOFF_NANOS)) + 1;
      openings++;
    }
  }
}
