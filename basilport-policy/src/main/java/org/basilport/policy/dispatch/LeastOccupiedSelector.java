package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the plain server with the smallest share of occupied slots.
 *
 * <p>Answers bursts on services with few slots: a request waits at the instance instead of in the
 * queue of a server, where it could no longer be sent elsewhere.
 */
public final class LeastOccupiedSelector implements ServerSelector {
  /** Requests per slot that a server may hold; above it the server refuses. */
  private static final double REQUESTS_PER_SLOT = 1.5;

  /** Occupancy that another data centre must be lower by to be preferred. */
  private static final double OTHER_DATA_CENTRE = 0.2;

  /** Random spread of occupancy, so that instances with the same view choose differently. */
  private static final double SPREAD = 0.1;

  private final String dataCentre;
  private final SplittableRandom random;

  /** Creates a selector for an instance of a data centre. */
  public LeastOccupiedSelector(String dataCentre, SplittableRandom random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  @Override
  public Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos) {
    return ServerSelector.cheapest(candidates, server -> cost(server, nowNanos));
  }

  private double cost(ServerLoad server, long nowNanos) {
    double occupancy = (double) server.totalWork().requests() / server.slots();
    if (occupancy >= REQUESTS_PER_SLOT) {
      return Double.POSITIVE_INFINITY;
    }
    double cost = occupancy + SPREAD * random.nextDouble() + server.health().failureRate();
    if (!server.dataCentre().equals(dataCentre)) {
      cost += OTHER_DATA_CENTRE;
    }
    if (server.warmingUp(nowNanos)) {
      cost += OTHER_DATA_CENTRE;
    }
    return cost;
  }
}
