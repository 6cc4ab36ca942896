package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects the target engine for a generation that moves away from a leaving engine.
 *
 * <p>All generations of a reclaimed engine have to be copied over one link within about 1.5 s, and
 * a copy to another data centre takes twice as long. An engine of the same data centre is therefore
 * preferred unless its memory would be nearly full.
 */
public final class MoveTargetSelector implements ServerSelector {
  /** Share of the memory that may be reserved; a refused move would lose the whole generation. */
  private static final double USABLE_MEMORY_SHARE = 0.97;

  /** Memory occupancy by which an engine in another data centre must be lower to be preferred. */
  private static final double REMOTE_DATA_CENTRE_PENALTY = 0.5;

  /**
   * Largest random addition to the occupancy. All instances choose at the same moment; without it
   * they would choose the same engine, whose link would become the bottleneck and whose memory
   * would overflow.
   */
  private static final double MAX_OCCUPANCY_JITTER = 0.35;

  private final String sourceDataCentre;
  private final SplittableRandom random;

  /** Creates a selector for generations of an engine in the given data centre. */
  public MoveTargetSelector(String sourceDataCentre, SplittableRandom random) {
    this.sourceDataCentre = sourceDataCentre;
    this.random = random;
  }

  @Override
  public Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos) {
    return ServerSelector.lowestCost(candidates, server -> cost(server, demand));
  }

  private double cost(ServerLoad server, RequestDemand demand) {
    OutstandingWork work = server.totalWork();
    double occupancy =
        (double) (work.memoryTokens() + demand.memoryTokens()) / Math.max(1, server.memoryTokens());
    if (work.requests() >= server.slots() || occupancy > USABLE_MEMORY_SHARE) {
      return Double.POSITIVE_INFINITY;
    }
    double cost =
        occupancy + MAX_OCCUPANCY_JITTER * random.nextDouble() + server.health().failureRate();
    return server.dataCentre().equals(sourceDataCentre) ? cost : cost + REMOTE_DATA_CENTRE_PENALTY;
  }
}
