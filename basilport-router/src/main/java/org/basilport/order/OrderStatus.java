package org.basilport.order;

import java.util.List;

/**
 * State of the engine orders of a service as seen by one instance.
 *
 * @param service model service
 * @param holder latest known holder of the leader lease, empty if none is known
 * @param holding whether this instance holds the lease now
 * @param fencingToken fencing token of this instance, 0 if it does not hold the lease
 * @param pending engines whose report does not match their target; known only to the holder
 */
public record OrderStatus(
    String service, String holder, boolean holding, long fencingToken, List<Pending> pending) {

  /**
   * An engine that has not reached its target.
   *
   * @param serverId id of the engine
   * @param models complete target set of models
   * @param attempts number of orders and failed reservations since the target was last reached
   */
  public record Pending(String serverId, List<String> models, int attempts) {}
}
