package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.basilport.policy.routing.RendezvousHash;

/**
 * Chooses the instances that watch the platform's store for all others.
 *
 * <p>Answers fleets whose calls would cost more than the traffic is worth: a watch of each instance
 * comes back at every change. In a large fleet a few instances of each data centre watch, and the
 * others ask them. A small fleet watches as a whole.
 */
public final class WatchDuty {
  /** Largest fleet in which each instance watches. */
  private static final int SMALL_FLEET = 12;

  /** Watching instances in each data centre; one may fail without a gap. */
  private static final int WATCHERS = 2;

  private static final String KEY = "watch";

  private WatchDuty() {}

  /** Returns the watching instances of a data centre. */
  public static <T> List<T> watchers(
      Collection<T> fleet,
      Function<T, String> idOf,
      Function<T, String> dataCentreOf,
      String dataCentre) {
    List<T> local =
        fleet.stream().filter(member -> dataCentreOf.apply(member).equals(dataCentre)).toList();
    if (fleet.size() <= SMALL_FLEET) {
      return local;
    }
    return RendezvousHash.rank(KEY, local, idOf).stream().limit(WATCHERS).toList();
  }
}
