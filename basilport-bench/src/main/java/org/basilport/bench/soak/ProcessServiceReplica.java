package org.basilport.bench.soak;

import java.util.concurrent.CompletableFuture;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReport;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;

/** A replica of an application service as seen from one simulated process. */
final class ProcessServiceReplica implements ServiceReplica {
  private final ServiceReplica delegate;
  private final ProcessBoundary boundary;

  ProcessServiceReplica(ServiceReplica delegate, ProcessBoundary boundary) {
    this.delegate = delegate;
    this.boundary = boundary;
  }

  @Override
  public CompletableFuture<ServiceResponse> call(ServiceRequest request) {
    return boundary.call(() -> delegate.call(request));
  }

  @Override
  public CompletableFuture<ServiceReport> report() {
    return boundary.call(delegate::report);
  }
}
