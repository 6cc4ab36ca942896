package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.basilport.policy.routing.RendezvousHash;

/**
 * Chooses the instances of a cell that watch the platform's store for all others.
 *
 * <p>Answers fleets whose calls would cost more than the traffic is worth: a watch of each instance
 * comes back at every change. A fleet of one cell watches as a whole.
 */
public final class WatcherSelector {
  /** Watching instances in each cell; one may fail without a gap. */
  private static final int WATCHERS = 2;

  private static final String KEY = "watch";

  private WatcherSelector() {}

  /** Returns the watching instances among the living members of a cell. */
  public static <T> List<T> select(
      Collection<T> members, boolean singleCell, Function<T, String> idOf) {
    if (singleCell) {
      return List.copyOf(members);
    }
    return RendezvousHash.rank(KEY, members, idOf).stream().limit(WATCHERS).toList();
  }
}
