package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Chooses the backend server for a request. */
@FunctionalInterface
public interface ServerSelector {

  /**
   * Returns the server that should get the request now; empty when each has to finish work first.
   *
   * @param candidates servers of the service that may be used for this request
   * @param nowNanos monotonic time
   */
  Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos);

  /**
   * Returns the server of the lowest cost, the first of equals.
   *
   * @param cost infinite for a server that cannot take the request
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
