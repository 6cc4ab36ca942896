package org.basilport.service;

import java.util.concurrent.CompletableFuture;

/**
 * Client of one replica of an application service.
 *
 * <p>Operations fail with {@code BackendException}: NOT_RUN if no byte can have reached the
 * replica, otherwise MAY_HAVE_RUN.
 */
public interface ServiceReplica {

  /** Sends a request and returns the complete response. */
  CompletableFuture<ServiceResponse> call(ServiceRequest request);

  /** Returns the load and whether the replica is leaving. */
  CompletableFuture<ServiceReport> report();
}
