package org.basilport.gateway.forward;

import java.util.List;
import java.util.Optional;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.policy.dispatch.ContendingRequest;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.RequestDemand;

/** Request to be placed at a backend server. */
interface PlacementRequest {

  /** Capacity that the request needs. */
  RequestDemand demand();

  /** Priority in the queue; 0 is the highest. */
  int priority();

  /** What the place of the request in a contended queue depends on. */
  default ContendingRequest contendingRequest() {
    return new ContendingRequest(
        priority(), 0, 0, ContendingRequest.tokens(demand().promptTokens(), 0));
  }

  /** Whether the request may be sent to a server. */
  boolean accepts(BackendServer server);

  /** The only software version at which the request may run; empty if any version may run it. */
  default Optional<String> requiredVersion() {
    return Optional.empty();
  }

  /** The regions in which the request may run. */
  default RequestRegions regions() {
    return RequestRegions.UNRESTRICTED;
  }

  /** Group of the request in a queue; the requests of one group can go to the same servers. */
  default Object placementGroup() {
    return List.of(requiredVersion(), regions().allowed());
  }

  /** Called when the request was queued. */
  void onQueued(PendingRequestQueue.Entry<PlacementRequest> entry);

  /** Called when the request was placed at a server whose load already includes it. */
  void onPlaced(BackendServer server);

  /** Time for which the request can still wait, in nanoseconds. */
  long maxWaitNanos();

  /** Called while the request is queued and no server takes it while it can wait. */
  void onHopeless(String reason);

  /** Called when the request was not queued, or was evicted from the queue. */
  void onNotQueued(String reason);
}
