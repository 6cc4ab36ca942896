package org.basilport.service;

import java.util.concurrent.CompletableFuture;

/**
 * One replica of a plain service.
 *
 * <p>Failures are {@code BackendException}: NOT_RUN when no byte can have reached the replica, else
 * MAY_HAVE_RUN.
 */
public interface ServiceReplica {

  /** Sends a request and returns the whole answer. */
  CompletableFuture<ServiceResponse> call(ServiceRequest request);

  /** Reports load and whether the replica is leaving. */
  CompletableFuture<ServiceReport> report();
}
