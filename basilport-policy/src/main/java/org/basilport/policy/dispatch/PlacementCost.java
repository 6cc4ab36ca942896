package org.basilport.policy.dispatch;

/** Bounds and cost by which the servers of one kind are compared. */
public interface PlacementCost {

  /** Whether the bounds of the server permit the request beside the given work. */
  boolean accepts(ServerLoad server, OutstandingWork work, RequestDemand demand);

  /**
   * Cost of the request on a server that has the given work, in the unit of the implementation. It
   * increases with the work.
   *
   * @param slowness duration of work on the server at this moment, relative to the usual one
   */
  double workCost(ServerLoad server, OutstandingWork work, RequestDemand demand, double slowness);

  /** Cost of a server that does not depend on its work, in the same unit. */
  double fixedCost(ServerLoad server, long nowNanos);
}
