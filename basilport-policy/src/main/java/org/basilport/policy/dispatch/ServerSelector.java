package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Selects the backend server for a request. */
@FunctionalInterface
public interface ServerSelector {

  /**
   * Returns the server that should receive the request now; empty when no server has capacity.
   *
   * @param candidates servers of the service that may be used for this request
   * @param nowNanos monotonic time
   */
  Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos);

  /**
   * Returns the server with the lowest cost, the first of several with equal cost.
   *
   * @param cost cost of a server, infinite when it cannot accept the request
   */
  static Optional<ServerLoad> lowestCost(
      Collection<ServerLoad> candidates, ToDoubleFunction<ServerLoad> cost) {
    ServerLoad best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (ServerLoad server : candidates) {
      double serverCost = cost.applyAsDouble(server);
      if (serverCost < bestCost) {
        best = server;
        bestCost = serverCost;
      }
    }
    return Optional.ofNullable(best);
  }
}
