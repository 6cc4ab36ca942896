package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.basilport.policy.routing.RendezvousHash;

/**
 * Selects the instances of a cell that watch the platform's store on behalf of the others.
 *
 * <p>A watch call returns at each change, so watches by all instances of a large fleet would cost
 * too many calls. In a fleet of a single cell all instances watch.
 */
public final class WatcherSelector {
  /** Watching instances per cell; one may fail without a gap. */
  private static final int WATCHERS_PER_CELL = 2;

  private static final String HASH_KEY = "watch";

  private WatcherSelector() {}

  /** Returns the watching instances among the live members of a cell. */
  public static <T> List<T> select(
      Collection<T> members, boolean singleCell, Function<T, String> idOf) {
    if (singleCell) {
      return List.copyOf(members);
    }
    return RendezvousHash.rank(HASH_KEY, members, idOf).stream().limit(WATCHERS_PER_CELL).toList();
  }
}
