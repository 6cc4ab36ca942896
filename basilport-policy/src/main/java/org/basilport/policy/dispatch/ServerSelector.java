package org.basilport.policy.dispatch;

import java.util.Collection;
import java.util.Optional;

/** Chooses the backend server for a request. */
@FunctionalInterface
public interface ServerSelector {

  /**
   * Returns the server that should get the request now; empty when each has to finish work first.
   *
   * @param candidates servers of the service that may be used for this request
   * @param nowNanos monotonic time
   */
  Optional<ServerLoad> select(
      Collection<ServerLoad> candidates, RequestDemand demand, long nowNanos);
}
