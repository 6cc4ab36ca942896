package org.basilport.order;

import java.util.List;

/**
 * Orders of a service as one instance sees them.
 *
 * @param service model service
 * @param holder instance that last held the duty as far as this instance has seen, else empty
 * @param holding whether this instance may give orders now
 * @param fencingToken fencing token of this instance, 0 when it may not give orders
 * @param pending engines whose report does not show their target; only known to the holder
 */
public record OrderStatus(
    String service, String holder, boolean holding, long fencingToken, List<Pending> pending) {

  /**
   * An engine that has not reached its target.
   *
   * @param serverId engine
   * @param models full target
   * @param attempts orders sent for the target so far
   */
  public record Pending(String serverId, List<String> models, int attempts) {}
}
