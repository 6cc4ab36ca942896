package org.basilport.policy.dispatch;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Share of one instance in the rate of requests that a server accepts from all instances together.
 *
 * <p>The load it answers: a server in need names a limit of a few requests a second while tens of
 * instances have requests for it. The permits of the fleet begin at equal intervals and go to the
 * instances by turns, in the order of their ids, and each ends after a while if it is not used. The
 * sum over all instances therefore keeps the limit in any window without a message for each
 * request, also when all instances were idle before a burst.
 */
public final class SharedRateLimit {
  /**
   * Validity of a permit. In a window of 4 s, the permits that begin in it and those that are still
   * valid at its beginning are one and a half times what the limit allows.
   */
  private static final long VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * Lowest rate, in requests per second, so that some response of the server tells that it is not
   * limited any more.
   */
  private static final double MIN_PER_SECOND = 0.1;

  private final long startNanos;
  private final ArrayDeque<Long> permits = new ArrayDeque<>();
  private double perSecond;
  private int instances;
  private int rank;
  private long nextNanos;

  /**
   * Creates a limit without permits.
   *
   * @param perSecond requests per second for all instances together
   * @param instances number of instances
   * @param rank position of this instance in the order of all instances, from 0
   * @param startNanos time at which the server first named a limit, which determines the turns
   */
  public SharedRateLimit(double perSecond, int instances, int rank, long startNanos) {
    this.startNanos = startNanos;
    this.perSecond = Math.max(MIN_PER_SECOND, perSecond);
    this.instances = instances;
    this.rank = rank;
    this.nextNanos = startNanos + intervalNanos() * (rank + 1);
  }

  /** Replaces the limit and the position of this instance; keeps the permits that have begun. */
  public void update(double newPerSecond, int newInstances, int newRank, long nowNanos) {
    double rate = Math.max(MIN_PER_SECOND, newPerSecond);
    if (rate == perSecond && newInstances == instances && newRank == rank) {
      return;
    }
    advance(nowNanos);
    perSecond = rate;
    instances = newInstances;
    rank = newRank;
    nextNanos = startNanos + intervalNanos() * (rank + 1);
    skipTo(nowNanos);
  }

  /** Whether a request may be sent now. */
  public boolean available(long nowNanos) {
    advance(nowNanos);
    return !permits.isEmpty();
  }

  /** Uses a permit, the oldest first; returns false if there is none. */
  public boolean tryAcquire(long nowNanos) {
    advance(nowNanos);
    return permits.pollFirst() != null;
  }

  /** Time until a permit is available; 0 if there is one. */
  public long nanosToPermit(long nowNanos) {
    return available(nowNanos) ? 0 : nextNanos - nowNanos;
  }

  private long intervalNanos() {
    return Math.round(TimeUnit.SECONDS.toNanos(1) / perSecond);
  }

  private long periodNanos() {
    return intervalNanos() * instances;
  }

  private void advance(long nowNanos) {
    if (nowNanos - nextNanos > VALIDITY_NANOS) {
      skipTo(nowNanos - VALIDITY_NANOS);
    }
    while (nextNanos - nowNanos <= 0) {
      permits.addLast(nextNanos);
      nextNanos += periodNanos();
    }
    while (!permits.isEmpty() && nowNanos - permits.peekFirst() > VALIDITY_NANOS) {
      permits.removeFirst();
    }
  }

  /** Skips the turns before a time. */
  private void skipTo(long nanos) {
    long behind = nanos - nextNanos;
    if (behind > 0) {
      nextNanos += (behind / periodNanos() + 1) * periodNanos();
    }
  }
}
