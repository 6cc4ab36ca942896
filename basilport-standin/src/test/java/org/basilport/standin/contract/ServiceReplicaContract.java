package org.basilport.standin.contract;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReport;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;
import org.basilport.standin.service.CountingServiceReplica;
import org.basilport.standin.service.ExecutionCounts;
import org.basilport.standin.service.ServiceFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Contract tests for implementations of {@link ServiceReplica}. */
abstract class ServiceReplicaContract {
  final TestClock clock = clock();
  final CountingServiceReplica countingServiceReplica =
      new CountingServiceReplica(
          "s1", clock.scheduler(), new SplittableRandom(1), new ExecutionCounts());
  private ServiceReplica service;

  abstract TestClock clock();

  abstract ServiceReplica service();

  /** Makes the service refuse the next connection. */
  abstract void refuseConnections();

  void open() {}

  @BeforeEach
  void start() {
    open();
    service = service();
  }

  @AfterEach
  void stop() {
    clock.close();
  }

  private static ServiceRequest request(String id, boolean repeatable) {
    String key = repeatable ? "" : "key-" + id;
    return new ServiceRequest(id, key, "ws", "moves/7", repeatable, "{\"é\":1}");
  }

  /** Guards against a response to another request, and against a second execution. */
  @ParameterizedTest
  @CsvSource({"true, 0", "false, 1"})
  void responseCarriesTheRequestId(boolean repeatable, int executionsOfKey) {
    ServiceRequest request = request("r-1", repeatable);

    ServiceResponse response = clock.await(service.call(request));

    assertThat(response)
        .isEqualTo(new ServiceResponse("r-1", 200, CountingServiceReplica.responseBody(request)));
    assertThat(countingServiceReplica.counts().ofId("r-1")).isEqualTo(1);
    assertThat(countingServiceReplica.counts().ofKey("key-r-1")).isEqualTo(executionsOfKey);
  }

  /** Guards against a failure whose outcome contradicts the number of executions. */
  @ParameterizedTest
  @CsvSource({
    "REFUSED_CONNECT, false, NOT_RUN, 0",
    "REFUSED_CONNECT, true, NOT_RUN, 0",
    "LOST_BEFORE_EXECUTION, false, MAY_HAVE_RUN, 0",
    "LOST_BEFORE_EXECUTION, true, MAY_HAVE_RUN, 0",
    "LOST_AFTER_EXECUTION, false, MAY_HAVE_RUN, 1",
    "LOST_AFTER_EXECUTION, true, MAY_HAVE_RUN, 1"
  })
  void faultsReportTheirOutcome(
      ServiceFault fault, boolean repeatable, Outcome outcome, int executions) {
    // A request on a pooled connection that the server has closed may have been received, so a
    // client must not report NOT_RUN for it. For REFUSED_CONNECT the first call is therefore not
    // repeatable, which leaves no connection in the pool.
    boolean pooled = repeatable && fault != ServiceFault.REFUSED_CONNECT;
    clock.await(service.call(request("r-0", pooled)));
    if (fault == ServiceFault.REFUSED_CONNECT) {
      refuseConnections();
    } else {
      countingServiceReplica.faults().failNext(fault);
    }

    BasilportException failure = clock.awaitFailure(service.call(request("r-1", repeatable)));

    assertThat(failure.outcome()).isEqualTo(outcome);
    assertThat(failure.code()).isEqualTo(FailureCode.BACKEND_LOST);
    assertThat(countingServiceReplica.counts().ofId("r-1")).isEqualTo(executions);
  }

  /** Guards against a misrouted response that cannot be told from the correct one. */
  @Test
  void misroutedResponseCarriesItsOwnRequestId() {
    clock.await(service.call(request("r-0", true)));
    countingServiceReplica.faults().failNext(ServiceFault.MISROUTED_ANSWER);

    assertThat(clock.await(service.call(request("r-1", true))).requestId()).isEqualTo("r-0");
  }

  /** Guards against a crash reported as NOT_RUN, and an unchanged incarnation after a restart. */
  @Test
  void crashLosesTheCallAndRestartIsVisible() {
    countingServiceReplica.faults().crashMarker("é");
    assertThat(clock.awaitFailure(service.call(request("r-1", false))).outcome())
        .isEqualTo(Outcome.MAY_HAVE_RUN);
    countingServiceReplica.restart();
    countingServiceReplica.markLeaving();
    clock.awaitUntil(
        () -> {
          CompletableFuture<ServiceReport> report = service.report();
          clock.awaitUntil(report::isDone);
          return !report.isCompletedExceptionally();
        });

    assertThat(clock.await(service.report())).isEqualTo(new ServiceReport(2, true, 0));
  }
}
