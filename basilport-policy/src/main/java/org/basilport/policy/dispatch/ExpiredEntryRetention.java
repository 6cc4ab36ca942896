package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Retains directory entries that expired during an outage of the directory, or that the directory
 * lost when it returned from an older copy.
 *
 * <p>Entries cannot be renewed during an outage. A live owner writes its entry again soon after the
 * directory has recovered; until then the known entry is kept.
 */
public final class ExpiredEntryRetention {
  private boolean active;
  private long untilNanos;

  /**
   * Starts the retention period; called when the directory has recovered.
   *
   * @param retentionNanos time after which an entry that is still missing is not retained any more
   */
  public void start(long nowNanos, long retentionNanos) {
    active = true;
    untilNanos = nowNanos + retentionNanos;
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
