package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the engine that takes over a generation from an engine that leaves.
 *
 * <p>Answers engines that are reclaimed at short notice: all their generations have to be copied
 * over one link within about 1.5 s, and a copy to another data centre takes twice as long. An
 * engine of the same data centre is therefore preferred unless its memory would be nearly full.
 */
public final class MoveTargetSelector implements ServerSelector {
  /** Share of the memory that may be assigned; a refused move would lose the whole generation. */
  private static final double MEMORY_SHARE = 0.97;

  /** Memory occupancy that another data centre must be lower by to be preferred. */
  private static final double OTHER_DATA_CENTRE = 0.5;

  /**
   * Random spread of occupancy. All instances choose at the same moment, and without it they choose
   * the same engine: its link becomes the bottleneck and its memory is overrun.
   */
  private static final double SPREAD = 0.35;

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
    return ServerSelector.cheapest(candidates, server -> cost(server, demand));
  }

  private double cost(ServerLoad server, RequestDemand demand) {
    OutstandingWork work = server.totalWork();
    double occupancy =
        (double) (work.memoryTokens() + demand.memoryTokens()) / Math.max(1, server.memoryTokens());
    if (work.requests() >= server.slots() || occupancy > MEMORY_SHARE) {
      return Double.POSITIVE_INFINITY;
    }
    double cost = occupancy + SPREAD * random.nextDouble() + server.health().failureRate();
    return server.dataCentre().equals(sourceDataCentre) ? cost : cost + OTHER_DATA_CENTRE;
  }
}
