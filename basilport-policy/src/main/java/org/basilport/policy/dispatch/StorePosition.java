package org.basilport.policy.dispatch;

import java.util.Comparator;

/**
 * Position in the history of a store. Revisions of one incarnation increase with each change; after
 * the store has returned from an older copy, they go back and are assigned again.
 *
 * @param incarnation incarnation of the store; 0 if it tells none
 * @param revision revision of the store's latest change
 */
public record StorePosition(long incarnation, long revision) implements Comparable<StorePosition> {
  /** Position before the first response. */
  public static final StorePosition NONE = new StorePosition(0, 0);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::incarnation)
          .thenComparingLong(StorePosition::revision);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }
}
