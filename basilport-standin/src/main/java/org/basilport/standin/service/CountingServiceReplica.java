package org.basilport.standin.service;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.misc.Scheduler;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReport;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;
import org.basilport.standin.AvailabilityListener;

/**
 * In-memory replica of an application service that counts executions. Safe to use from any thread;
 * results complete on the scheduler.
 */
public final class CountingServiceReplica implements ServiceReplica {
  private static final int OK = 200;

  private final String name;
  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final ExecutionCounts counts;
  private final ServiceFaults faults;
  private final Duration latency;
  private final Duration executionTime;
  private AvailabilityListener availabilityListener = available -> {};
  private ServiceRequest previousRequest;
  private boolean down;
  private boolean leaving;
  private long leavingSinceNanos;
  private long incarnation = 1;
  private int active;

  /** Creates a running replica with a one-way latency of 1 ms and a mean execution time of 5 ms. */
  public CountingServiceReplica(
      String name, Scheduler scheduler, SplittableRandom random, ExecutionCounts counts) {
    this(name, scheduler, random, counts, Duration.ofMillis(1), Duration.ofMillis(5));
  }

  /**
   * Creates a running replica.
   *
   * @param counts execution counters, which replicas of the same service may share
   * @param latency one-way latency of requests and responses
   * @param executionTime mean execution time; an execution takes 0.5 to 1.5 times as long
   */
  public CountingServiceReplica(
      String name,
      Scheduler scheduler,
      SplittableRandom random,
      ExecutionCounts counts,
      Duration latency,
      Duration executionTime) {
    this.name = name;
    this.scheduler = scheduler;
    this.random = random;
    this.counts = counts;
    this.faults = new ServiceFaults(random.split());
    this.latency = latency;
    this.executionTime = executionTime;
  }

  /** Name of the replica. */
  public String name() {
    return name;
  }

  /** Fault injection settings. */
  public ServiceFaults faults() {
    return faults;
  }

  /** Execution counters. */
  public ExecutionCounts counts() {
    return counts;
  }

  /** Sets the listener that is notified of crashes and restarts. */
  public synchronized void onAvailability(AvailabilityListener listener) {
    availabilityListener = listener;
  }

  /** Incarnation number, which increases with each restart. */
  public synchronized long incarnation() {
    return incarnation;
  }

  /** Whether the replica is down after a crash. */
  public synchronized boolean isDown() {
    return down;
  }

  /** Body of the response to a request. */
  public static String responseBody(ServiceRequest request) {
    return "{\"requestId\":\"" + request.requestId() + "\",\"done\":\"" + request.path() + "\"}";
  }

  /** Marks the replica as leaving; it still executes the calls that it receives. */
  public synchronized void markLeaving() {
    if (!leaving) {
      leaving = true;
      leavingSinceNanos = scheduler.nanoTime();
    }
  }

  /** Crashes the replica; calls in progress fail with the outcome MAY_HAVE_RUN. */
  public synchronized void crash() {
    down = true;
    active = 0;
    availabilityListener.availabilityChanged(false);
  }

  /** Crashes the replica and restarts it after a delay. */
  public void crashAndRestart(Duration delay) {
    crash();
    scheduler.schedule(delay, this::restart);
  }

  /** Restarts the replica with a new incarnation; crashes it first if it is up. */
  public synchronized void restart() {
    crash();
    down = false;
    leaving = false;
    incarnation++;
    availabilityListener.availabilityChanged(true);
  }

  @Override
  public CompletableFuture<ServiceResponse> call(ServiceRequest request) {
    CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
    scheduler.schedule(latency, () -> accept(request, result));
    return result;
  }

  @Override
  public CompletableFuture<ServiceReport> report() {
    CompletableFuture<ServiceReport> result = new CompletableFuture<>();
    scheduler.schedule(latency.multipliedBy(2), () -> sendReport(result));
    return result;
  }

  private void sendReport(CompletableFuture<ServiceReport> result) {
    ServiceReport report;
    synchronized (this) {
      report = down ? null : new ServiceReport(incarnation, leaving, active);
    }
    if (report == null) {
      result.completeExceptionally(connectionRefused());
    } else {
      result.complete(report);
    }
  }

  private synchronized void accept(
      ServiceRequest request, CompletableFuture<ServiceResponse> result) {
    Optional<ServiceFault> fault = faults.nextFault();
    if (down || fault.equals(Optional.of(ServiceFault.REFUSED_CONNECT))) {
      fail(result, connectionRefused());
      return;
    }
    if (fault.equals(Optional.of(ServiceFault.LOST_BEFORE_EXECUTION))) {
      fail(result, connectionLost("the connection was lost before a response"));
      return;
    }
    Duration afterLeaving =
        Duration.ofNanos(leaving ? scheduler.nanoTime() - leavingSinceNanos : 0);
    counts.recordExecution(request, afterLeaving);
    active++;
    long acceptedIncarnation = incarnation;
    long nanos = (long) (executionTime.toNanos() * (0.5 + random.nextDouble()));
    scheduler.schedule(
        faults.additionalExecutionTime().plusNanos(nanos),
        () -> finish(request, fault, acceptedIncarnation, result));
  }

  private synchronized void finish(
      ServiceRequest request,
      Optional<ServiceFault> fault,
      long acceptedIncarnation,
      CompletableFuture<ServiceResponse> result) {
    if (down || incarnation != acceptedIncarnation) {
      fail(result, connectionLost("the replica crashed"));
      return;
    }
    active--;
    ServiceRequest answeredRequest = request;
    if (fault.equals(Optional.of(ServiceFault.MISROUTED_ANSWER)) && previousRequest != null) {
      answeredRequest = previousRequest;
    }
    previousRequest = request;
    if (faults.crashesOn(request.body())) {
      crash();
      fail(result, connectionLost("the replica crashed"));
    } else if (fault.equals(Optional.of(ServiceFault.LOST_AFTER_EXECUTION))) {
      fail(result, connectionLost("the connection was lost before a response"));
    } else {
      ServiceResponse response =
          new ServiceResponse(answeredRequest.requestId(), OK, responseBody(answeredRequest));
      scheduler.schedule(latency, () -> result.complete(response));
    }
  }

  private void fail(CompletableFuture<ServiceResponse> result, BackendException failure) {
    scheduler.schedule(latency, () -> result.completeExceptionally(failure));
  }

  private BackendException connectionRefused() {
    return new BackendException(
        FailureCode.BACKEND_LOST, Outcome.NOT_RUN, Step.CONNECT, name, "connection refused", null);
  }

  private BackendException connectionLost(String message) {
    return new BackendException(
        FailureCode.BACKEND_LOST, Outcome.MAY_HAVE_RUN, Step.SEND, name, message, null);
  }
}
