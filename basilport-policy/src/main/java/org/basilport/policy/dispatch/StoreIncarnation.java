package org.basilport.policy.dispatch;

import java.util.OptionalLong;

/**
 * Latest known incarnation of a store. The incarnation increases each time the store returns from
 * an older copy of its objects and so loses changes that it had confirmed.
 */
public final class StoreIncarnation {
  private OptionalLong latest = OptionalLong.empty();

  /** Relation of a response to the responses before it. */
  public enum Order {
    /** The response is of the latest incarnation, or does not tell its incarnation. */
    CURRENT,
    /** The response is the first one of a store that has returned from an older copy. */
    RETURNED,
    /** The response was given before the store returned from an older copy. */
    OUTDATED
  }

  /** Records the incarnation that a response tells; empty if it tells none. */
  public Order observe(OptionalLong incarnation) {
    if (incarnation.isEmpty()) {
      return Order.CURRENT;
    }
    if (latest.isEmpty()) {
      latest = incarnation;
      return Order.CURRENT;
    }
    int comparison = Long.compare(incarnation.getAsLong(), latest.getAsLong());
    if (comparison > 0) {
      latest = incarnation;
      return Order.RETURNED;
    }
    return comparison < 0 ? Order.OUTDATED : Order.CURRENT;
  }

  /** The latest incarnation; empty until a response has told one. */
  public OptionalLong latest() {
    return latest;
  }
}
