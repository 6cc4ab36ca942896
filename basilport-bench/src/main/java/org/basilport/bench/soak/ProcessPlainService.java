package org.basilport.bench.soak;

import java.util.concurrent.CompletableFuture;
import org.basilport.service.PlainService;
import org.basilport.service.ServiceReport;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;

/** A plain service as seen from one simulated process. */
final class ProcessPlainService implements PlainService {
  private final PlainService delegate;
  private final ProcessBoundary boundary;

  ProcessPlainService(PlainService delegate, ProcessBoundary boundary) {
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
