package org.basilport.fake;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.misc.VirtualScheduler;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReport;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;

/** Service replica that records executed calls; each call uses the next queued behaviour. */
public final class FakeServiceReplica implements ServiceReplica {
  /** Behaviour of a call. */
  public enum Behaviour {
    RESPOND,
    REFUSE_CONNECTION,
    LOSE_RESPONSE,
    MISMATCHED_RESPONSE
  }

  /** Behaviours of the next calls; later calls receive a normal response. */
  public final Deque<Behaviour> behaviours = new ArrayDeque<>();

  /** Bodies of the executed calls, in order. */
  public final List<String> executedBodies = new ArrayList<>();

  private final VirtualScheduler scheduler;

  /** Creates a replica that has executed no calls. */
  public FakeServiceReplica(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
  }

  @Override
  public CompletableFuture<ServiceResponse> call(ServiceRequest request) {
    CompletableFuture<ServiceResponse> response = new CompletableFuture<>();
    Behaviour behaviour = behaviours.isEmpty() ? Behaviour.RESPOND : behaviours.remove();
    scheduler.schedule(Duration.ofMillis(20), () -> run(request, behaviour, response));
    return response;
  }

  private void run(
      ServiceRequest request, Behaviour behaviour, CompletableFuture<ServiceResponse> response) {
    if (behaviour == Behaviour.REFUSE_CONNECTION) {
      response.completeExceptionally(failure(FailureCode.NO_BACKEND, Outcome.NOT_RUN));
      return;
    }
    executedBodies.add(request.body());
    switch (behaviour) {
      case LOSE_RESPONSE ->
          response.completeExceptionally(failure(FailureCode.BACKEND_LOST, Outcome.MAY_HAVE_RUN));
      case MISMATCHED_RESPONSE -> response.complete(new ServiceResponse("another", 200, "crossed"));
      default -> response.complete(new ServiceResponse(request.requestId(), 200, "done"));
    }
  }

  @Override
  public CompletableFuture<ServiceReport> report() {
    return CompletableFuture.completedFuture(new ServiceReport(1, false, 0));
  }

  private static BackendException failure(FailureCode code, Outcome outcome) {
    return new BackendException(code, outcome, Step.SEND, "replica", "fault of the test", null);
  }
}
