package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Decides which instances an instance that has just started takes for possible watchers of the
 * store.
 *
 * <p>The load it answers: all instances of a large fleet start at the same moment, for the first
 * time or after a power failure. Each registers after its first list, so the first lists are empty
 * or hold a few at a first start, and no instance has reported yet. An instance that took itself or
 * these few for the whole fleet would watch the store, and each change of a server would cost one
 * call for each instance of the fleet. Until the others are known, the own reads are the only
 * proofs. Confined to one thread.
 */
public final class FleetDiscovery {
  /**
   * Time after a first start after which an instance whose lists name no others is the only one.
   * The second list follows the first one after 2.5 s.
   */
  private static final long ALONE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * Time after a first start before which a list may hold some of the others only: the instances
   * start within 0.3 s of each other and register after their first list.
   */
  private static final long REGISTRATION_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * Time after the first list with others within which they report: several heartbeats, and the
   * proof of the configuration without which an instance is not ready.
   */
  private static final long FIRST_REPORTS_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  private final boolean firstStart;
  private final long startNanos;
  private boolean listed;
  private boolean othersListed;
  private long othersListedNanos;

  /**
   * Creates the state of an instance that has read no list.
   *
   * @param firstStart whether the fleet starts for the first time
   */
  public FleetDiscovery(boolean firstStart, long startNanos) {
    this.firstStart = firstStart;
    this.startNanos = startNanos;
  }

  /** Records a list of the instances; {@code namesOthers} if it holds others than the own one. */
  public void recordList(boolean namesOthers, long nowNanos) {
    listed = true;
    boolean complete = !firstStart || nowNanos - startNanos >= REGISTRATION_NANOS;
    if (namesOthers && complete && !othersListed) {
      othersListed = true;
      othersListedNanos = nowNanos;
    }
  }

  /** Whether any list was read. */
  public boolean listed() {
    return listed;
  }

  /** Whether the other instances are still unknown, so that none is selected as a watcher. */
  public boolean awaitsOthers(long nowNanos) {
    return !listed || (firstStart && !othersListed && nowNanos - startNanos < ALONE_NANOS);
  }

  /** Whether listed instances are possible watchers that have not reported yet. */
  public boolean countsSilentMembers(long nowNanos) {
    return othersListed && nowNanos - othersListedNanos < FIRST_REPORTS_NANOS;
  }
}
