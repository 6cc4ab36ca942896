package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Retains directory entries that expired during an outage of the directory.
 *
 * <p>Servers cannot renew their entries during an outage. A live server is listed again within
 * about two seconds after the directory has recovered; until then its known entry is kept.
 */
public final class ExpiredEntryRetention {
  /** Time in which live servers are listed again, less the tolerance of the drain period. */
  private static final long RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

  private boolean active;
  private long untilNanos;

  /** Starts the retention period; called when the directory has recovered. */
  public void start(long nowNanos) {
    active = true;
    untilNanos = nowNanos + RETENTION_NANOS;
  }

  /** Whether the retention period has ended; returns true once for each period. */
  public boolean pollEnded(long nowNanos) {
    if (!active || untilNanos - nowNanos > 0) {
      return false;
    }
    active = false;
    return true;
  }

  /**
   * Returns the listed entries and, during the retention period, the known entries that are not
   * listed.
   */
  public <T> List<T> merge(
      Collection<T> known, Collection<T> listed, Function<T, String> idOf, long nowNanos) {
    if (!active || untilNanos - nowNanos <= 0) {
      return List.copyOf(listed);
    }
    Set<String> ids = listed.stream().map(idOf).collect(Collectors.toSet());
    List<T> merged = new ArrayList<>(listed);
    known.stream().filter(entry -> !ids.contains(idOf.apply(entry))).forEach(merged::add);
    return merged;
  }
}
