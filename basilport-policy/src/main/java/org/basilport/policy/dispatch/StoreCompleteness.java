package org.basilport.policy.dispatch;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a store holds everything that it has ever confirmed.
 *
 * <p>A store that returns from an older copy has lost confirmed changes until their writers have
 * written them again. A read in this time shows only what the copy holds, and proves nothing about
 * the changes that were lost. The time since the return is not known to a process that starts
 * later, so instances tell each other which incarnation they found to be complete. Thread-safe.
 */
public final class StoreCompleteness {
  /**
   * Time after its return in which the writers of a store write again, in nanoseconds; the platform
   * states about two seconds.
   */
  public static final long REWRITE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private boolean firstStart;
  private long latest;
  private long latestSeenNanos;
  private long complete;
  private Optional<StoreRead> pending = Optional.empty();

  /**
   * Creates a decision for a process that has not read the store.
   *
   * @param firstStart whether the fleet starts for the first time, so that nothing that it relies
   *     on can have been lost
   */
  public StoreCompleteness(boolean firstStart) {
    this.firstStart = firstStart;
  }

  /** Whether a read sees all changes that were confirmed before its start. */
  public synchronized boolean proves(StoreRead read, long nowNanos) {
    if (read.incarnation() > latest) {
      latest = read.incarnation();
      latestSeenNanos = nowNanos;
      if (firstStart) {
        complete = latest;
      }
    }
    firstStart = false;
    if (read.incarnation() > complete
        && read.incarnation() == latest
        && read.startNanos() - latestSeenNanos >= REWRITE_NANOS) {
      complete = latest;
    }
    if (read.incarnation() <= complete) {
      return true;
    }
    pending = Optional.of(read);
    return false;
  }

  /** Records that another instance found an incarnation to be complete. */
  public synchronized void confirm(long incarnation) {
    complete = Math.max(complete, incarnation);
  }

  /**
   * Records that an incarnation was known to be complete before this process started.
   *
   * @return the latest read that proved nothing before and sees all confirmed changes
   */
  public synchronized Optional<StoreRead> confirmBeforeStart(long incarnation) {
    confirm(incarnation);
    Optional<StoreRead> proven = pending.filter(read -> read.incarnation() <= complete);
    pending = Optional.empty();
    return proven;
  }

  /** The latest incarnation that is known to be complete; 0 if there is none. */
  public synchronized long completeIncarnation() {
    return complete;
  }

  /**
   * Time until a read can show that the store is complete, in nanoseconds; 0 if the next one can,
   * {@link Long#MAX_VALUE} if the store is known to be complete.
   */
  public synchronized long nanosUntilProof(long nowNanos) {
    if (latest <= complete) {
      return Long.MAX_VALUE;
    }
    return Math.max(0, latestSeenNanos + REWRITE_NANOS - nowNanos);
  }
}
