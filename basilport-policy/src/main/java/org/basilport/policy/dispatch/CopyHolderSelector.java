package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;

/**
 * Chooses the engine that keeps a copy of a running generation.
 *
 * <p>Answers engines that crash: a generation that must not run twice can only go on from its
 * memory. Copies take memory from other generations, so they are made only while it is plentiful.
 */
public final class CopyHolderSelector implements ServerSelector {
  /** Memory occupancy, with the copy, up to which an engine holds copies. */
  private static final double MEMORY_SHARE = 0.4;

  @Override
  public Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos) {
    ServerLoad best = null;
    double bestOccupancy = MEMORY_SHARE;
    for (ServerLoad server : candidates) {
      double occupancy =
          (double) (server.total().memoryTokens() + demand.memoryTokens())
              / Math.max(1, server.memoryTokens());
      if (occupancy < bestOccupancy) {
        best = server;
        bestOccupancy = occupancy;
      }
    }
    return Optional.ofNullable(best);
  }
}
