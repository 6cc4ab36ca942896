package org.basilport.policy.dispatch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides how many of the permits for a cold server one instance holds, by the lists of the
 * registered instances that it has used.
 *
 * <p>The load it answers: 84 instances, 22 permits for each of 39 servers, and instances that
 * start, end and are partitioned while the servers are cold.
 *
 * <p>Only an instance that its list contains holds permits: the permits of a list are divided among
 * its instances. The share is the smallest that any list gives which was in use within the settling
 * time, and zero if there was none at the beginning of that time. Whoever sends within a window
 * that is no longer than the settling time therefore held the permit already by the list that it
 * used at the beginning of the window. The sum over all instances in a window is at most the
 * permits of the lists in use at its beginning, however often the lists change in it.
 *
 * <p>With more instances than permits, those hold one that are closest to the expected centre of
 * the cells that use the server, since permits of instances that do not use it are lost. The list
 * of the servers has no influence: instances would have far more than two different divisions at
 * the same moment.
 */
public final class ColdStartHolders {
  /**
   * Time for which a list of instances must be in use before it adds permits. Instances read the
   * list every 5 s, up to 1 s old, so an instance that lost a permit by it has sent its last
   * request more than a window (1.3 s) before. With 6 s, two instances used the same permit.
   */
  public static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(8);

  /** Number of servers whose ranks are kept; servers that have left are among them. */
  private static final int MAX_CACHED_RANKS = 4_096;

  private final String ownId;
  private final long settlingNanos;
  private final ArrayDeque<UsedList> lists = new ArrayDeque<>();

  /**
   * Creates the state of an instance that has not read a list, which holds no permits.
   *
   * @param settlingNanos time for which a list must be in use before it adds permits, at least
   *     {@link ColdStartShare#WINDOW_NANOS}
   */
  public ColdStartHolders(String ownId, long settlingNanos) {
    if (settlingNanos < ColdStartShare.WINDOW_NANOS) {
      throw new IllegalArgumentException("settling time is shorter than the window");
    }
    this.ownId = ownId;
    this.settlingNanos = settlingNanos;
  }

  /** Replaces the list of the registered instances. */
  public void update(Collection<String> instanceIds, long nowNanos) {
    Set<String> ids = Set.copyOf(instanceIds);
    if (!lists.isEmpty() && lists.peekLast().ids.equals(ids)) {
      return;
    }
    lists.addLast(new UsedList(ids, nowNanos));
    removeUnused(nowNanos);
  }

  /**
   * Number of permits that this instance holds for a server in each window.
   *
   * @param permits permits that all instances of one list hold together
   */
  public int share(String serverId, int permits, long nowNanos) {
    removeUnused(nowNanos);
    if (lists.isEmpty() || nowNanos - lists.peekFirst().sinceNanos < settlingNanos) {
      return 0;
    }
    int share = permits;
    for (UsedList list : lists) {
      share = Math.min(share, list.share(serverId, permits));
    }
    return share;
  }

  /** Removes the lists that were replaced before the settling time. */
  private void removeUnused(long nowNanos) {
    while (lists.size() > 1) {
      Iterator<UsedList> iterator = lists.iterator();
      iterator.next();
      if (nowNanos - iterator.next().sinceNanos <= settlingNanos) {
        return;
      }
      lists.removeFirst();
    }
  }

  /** A list of instances and the time since which it is in use. */
  private final class UsedList {
    private final Set<String> ids;
    private final long sinceNanos;
    private final Map<String, Integer> ownRanks = new HashMap<>();

    private UsedList(Set<String> ids, long sinceNanos) {
      this.ids = ids;
      this.sinceNanos = sinceNanos;
    }

    private int share(String serverId, int permits) {
      if (!ids.contains(ownId)) {
        return 0;
      }
      if (ids.size() <= permits) {
        return permits / ids.size();
      }
      if (ownRanks.size() >= MAX_CACHED_RANKS) {
        ownRanks.clear();
      }
      return ownRanks.computeIfAbsent(serverId, this::ownRank) < permits ? 1 : 0;
    }

    /** Number of instances that are closer to the expected centre of the cells than this one. */
    private int ownRank(String serverId) {
      double centre = CellPartition.expectedCentre(serverId);
      double own = CellPartition.ringDistance(ownId, centre);
      return (int)
          ids.stream()
              .filter(
                  id -> {
                    int order = Double.compare(CellPartition.ringDistance(id, centre), own);
                    return order < 0 || (order == 0 && id.compareTo(ownId) < 0);
                  })
              .count();
    }
  }
}
