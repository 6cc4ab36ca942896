package org.basilport.bench.evenness;

import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.RequestDemand;

/** A request in the simulation, with its durations on a server of the usual speed. */
final class SimulatedRequest {
  final int instance;
  final RequestDemand demand;
  final double prefillNanos;
  final double serviceNanos;
  long arrivedNanos;
  long sentNanos;
  long prefillTokensWhenSent;
  int server;

  /** Work that the load of the server includes for the request now. */
  OutstandingWork work;

  SimulatedRequest(int instance, RequestDemand demand, double prefillNanos, double serviceNanos) {
    this.instance = instance;
    this.demand = demand;
    this.prefillNanos = prefillNanos;
    this.serviceNanos = serviceNanos;
    this.work = demand.toWork();
  }
}
