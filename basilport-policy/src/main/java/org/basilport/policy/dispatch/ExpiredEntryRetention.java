package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.Function;

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
   * Starts the retention period, or extends it; called when the directory has recovered.
   *
   * @param retentionNanos time after which an entry that is still missing is not retained any more
   */
  public void start(long nowNanos, long retentionNanos) {
    long end = nowNanos + retentionNanos;
    untilNanos = active && untilNanos - end > 0 ? untilNanos : end;
    active = true;
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
   *
   * @param latest chooses between the known and the listed entry of the same id during the
   *     retention period
   */
  public <T> List<T> merge(
      Collection<T> known,
      Collection<T> listed,
      Function<T, String> idOf,
      BinaryOperator<T> latest,
      long nowNanos) {
    if (!active || untilNanos - nowNanos <= 0) {
      return List.copyOf(listed);
    }
    Map<String, T> merged = new LinkedHashMap<>();
    listed.forEach(entry -> merged.put(idOf.apply(entry), entry));
    known.forEach(entry -> merged.merge(idOf.apply(entry), entry, (l, k) -> latest.apply(k, l)));
    return List.copyOf(merged.values());
  }
}
