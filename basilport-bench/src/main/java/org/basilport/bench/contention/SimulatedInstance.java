package org.basilport.bench.contention;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.basilport.policy.dispatch.ContendedDispatch;
import org.basilport.policy.dispatch.FleetUsage;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.ReturnOrder;

/** Waiting requests of one simulated instance, in a contended queue or in the one by arrival. */
final class SimulatedInstance {
  final int index;
  final int cell;
  final FleetUsage usage;
  final long incarnation;
  boolean dispatchScheduled;
  private final ContendedDispatch<SimulatedRequest> contended;
  private final PendingRequestQueue<SimulatedRequest> byArrival =
      new PendingRequestQueue<>(PendingRequestQueue.LENGTH_LIMIT);
  private final Map<SimulatedRequest, PendingRequestQueue.Entry<SimulatedRequest>> entries =
      new HashMap<>();
  private final boolean fair;
  private final SplittableRandom random;

  SimulatedInstance(
      int index, int cell, long incarnation, boolean fair, SplittableRandom random, long now) {
    this.index = index;
    this.cell = cell;
    this.incarnation = incarnation;
    this.fair = fair;
    this.random = random;
    this.usage = new FleetUsage(now);
    this.contended =
        new ContendedDispatch<>(
            PendingRequestQueue.LENGTH_LIMIT,
            PendingRequestQueue.REJECTION_LIMIT,
            usage,
            random,
            now);
  }

  ReturnOrder.Arrival submit(
      SimulatedRequest request, ContendedDispatch.Servers<SimulatedRequest> servers, long now) {
    if (fair) {
      return contended.submit(
          request, request.demand(), 0, SimulatedRequest.MAX_WAIT_NANOS, servers, now);
    }
    byArrival
        .add(request, 0)
        .ifPresentOrElse(e -> entries.put(request, e), () -> servers.refuse(request));
    dispatch(servers, now);
    return ReturnOrder.Arrival.NEW;
  }

  void dispatch(ContendedDispatch.Servers<SimulatedRequest> servers, long now) {
    if (fair) {
      contended.dispatch(servers, now);
    } else {
      byArrival.dispatch(servers::place, same -> 0, PendingRequestQueue.REJECTION_LIMIT);
    }
  }

  /** Removes a request whose time limit has passed. */
  void remove(
      SimulatedRequest request, ContendedDispatch.Servers<SimulatedRequest> servers, long now) {
    contended.remove(request, servers, now);
    PendingRequestQueue.Entry<SimulatedRequest> entry = entries.remove(request);
    if (entry != null) {
      byArrival.remove(entry);
    }
  }

  /** Delay after which a refused caller is told to return. */
  long retryAfter(SimulatedRequest request, long now) {
    long base = Math.round(ReturnOrder.delayWithoutPromise(SimulatedRequest.TARGET_NANOS, random));
    return fair ? contended.refuse(request, base, now) : base;
  }

  void end(SimulatedRequest request, long now) {
    contended.end(request, OptionalLong.empty(), now);
  }

  OptionalLong nanosToNextOffer(long now) {
    return fair ? contended.queue().nanosToNextOffer(now) : OptionalLong.empty();
  }
}
