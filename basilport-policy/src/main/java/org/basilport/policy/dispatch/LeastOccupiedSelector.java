package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects the server of an application service with the smallest share of occupied slots.
 *
 * <p>When all servers are full, requests wait at the instance and not in the queue of a server,
 * from where they could no longer be sent to another one. This matters for bursts on services with
 * few slots.
 */
public final class LeastOccupiedSelector implements ServerSelector, PlacementCost {
  /** Requests per slot at which a server is full; beyond it the server refuses requests. */
  private static final double MAX_REQUESTS_PER_SLOT = 1.5;

  /**
   * Occupancy that is added for a server in another data centre, and for a server that is warming
   * up.
   */
  private static final double OCCUPANCY_PENALTY = 0.2;

  /**
   * Largest random addition to the occupancy, so that instances with the same view choose different
   * servers.
   */
  private static final double MAX_OCCUPANCY_JITTER = 0.1;

  private final String dataCentre;
  private final SplittableRandom random;

  /** Creates a selector for an instance in the given data centre. */
  public LeastOccupiedSelector(String dataCentre, SplittableRandom random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  @Override
  public Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos) {
    return ServerSelector.lowestCost(candidates, server -> cost(server, nowNanos));
  }

  private double cost(ServerLoad server, long nowNanos) {
    if (!accepts(server, server.totalWork(), RequestDemand.SERVICE_CALL)) {
      return Double.POSITIVE_INFINITY;
    }
    return occupancy(server, server.totalWork())
        + MAX_OCCUPANCY_JITTER * random.nextDouble()
        + fixedCost(server, nowNanos);
  }

  @Override
  public boolean accepts(ServerLoad server, OutstandingWork work, RequestDemand demand) {
    return occupancy(server, work) < MAX_REQUESTS_PER_SLOT;
  }

  /**
   * {@inheritDoc}
   *
   * <p>The occupancy includes the request, so that an idle slow server costs more than an idle fast
   * one.
   */
  @Override
  public double workCost(
      ServerLoad server, OutstandingWork work, RequestDemand demand, double slowness) {
    return occupancy(server, work.plus(demand.toWork())) * slowness;
  }

  private static double occupancy(ServerLoad server, OutstandingWork work) {
    return (double) work.requests() / server.slots();
  }

  @Override
  public double fixedCost(ServerLoad server, long nowNanos) {
    double cost = server.health().failureRate();
    if (!server.dataCentre().equals(dataCentre)) {
      cost += OCCUPANCY_PENALTY;
    }
    if (server.warmingUp(nowNanos)) {
      cost += OCCUPANCY_PENALTY;
    }
    return cost;
  }
}
