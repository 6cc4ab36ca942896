package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Keeps directory entries that lapsed while the directory was away.
 *
 * <p>Servers renew their entries, which they cannot do during an outage. A living server is listed
 * again within about two seconds of the directory's return; until then its entry is kept.
 */
public final class ExpiredEntryRetention {
  /** Time within which living servers are listed again, less the drain period's tolerance. */
  private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

  private boolean holding;
  private long untilNanos;

  /** Starts to hold: the directory has just returned. */
  public void start(long nowNanos) {
    holding = true;
    untilNanos = nowNanos + HOLD_NANOS;
  }

  /** Whether a hold has ended since it was started; true once for each. */
  public boolean pollEnded(long nowNanos) {
    if (!holding || untilNanos - nowNanos > 0) {
      return false;
    }
    holding = false;
    return true;
  }

  /** Returns the listed entries, with known ones that are missing while the hold lasts. */
  public <T> List<T> merge(
      Collection<T> known, Collection<T> listed, Function<T, String> idOf, long nowNanos) {
    if (!holding || untilNanos - nowNanos <= 0) {
      return List.copyOf(listed);
    }
    Set<String> ids = listed.stream().map(idOf).collect(Collectors.toSet());
    List<T> merged = new ArrayList<>(listed);
    known.stream().filter(entry -> !ids.contains(idOf.apply(entry))).forEach(merged::add);
    return merged;
  }
}
