package org.basilport.gateway.forward;

import org.basilport.gateway.backend.BackendServer;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.RequestDemand;

/** A request that needs a backend server. */
interface PlacementRequest {

  /** What the request needs from the server. */
  RequestDemand demand();

  /** Rank in the line, 0 is the highest. */
  int priority();

  /** Whether the request may go to a server. */
  boolean accepts(BackendServer server);

  /** The request waits at a place in the line. */
  void onQueued(PendingRequestQueue.Entry<PlacementRequest> entry);

  /** The request got a server; its load already counts the request. */
  void onPlaced(BackendServer server);

  /** The line has no room for the request. */
  void onQueueFull();
}
