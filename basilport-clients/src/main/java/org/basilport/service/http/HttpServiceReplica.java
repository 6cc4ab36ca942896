package org.basilport.service.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.http.FailureBody;
import org.basilport.http.HttpAnswer;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReport;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;

/**
 * A replica of a plain service over HTTP. A request that may not be repeated gets a connection of
 * its own, since a pooled connection that turns out to be closed does not show whether bytes
 * arrived.
 */
public final class HttpServiceReplica implements ServiceReplica {
  /** Header field with the id of the attempt, repeated in the answer. */
  public static final String REQUEST_ID = "Request-Id";

  /** Header field with the key of a request that may not be repeated. */
  public static final String REQUEST_KEY = "Request-Key";

  /** Header field with the workspace of the caller. */
  public static final String WORKSPACE = "Basilport-Workspace";

  /** Header field that tells whether the request may run more than once. */
  public static final String REPEATABLE = "Repeatable";

  /** Prefix of the paths of calls. */
  public static final String CALL_PREFIX = "/call/";

  /** Path of the report. */
  public static final String REPORT_PATH = "/load";

  private final HttpTransport connector;
  private final String address;

  /** Creates a client of the replica at an IP address and port. */
  public HttpServiceReplica(HttpTransport connector, String address) {
    this.connector = connector;
    this.address = address;
  }

  @Override
  public CompletableFuture<ServiceResponse> call(ServiceRequest request) {
    String path = request.path().startsWith("/") ? request.path().substring(1) : request.path();
    HttpCall call =
        HttpCall.of("POST", address, CALL_PREFIX + path)
            .withHeader(REQUEST_ID, request.requestId())
            .withHeader(REQUEST_KEY, request.requestKey())
            .withHeader(WORKSPACE, request.workspace())
            .withHeader(REPEATABLE, Boolean.toString(request.repeatable()))
            .withBody("text/plain;charset=utf-8", request.body().getBytes(StandardCharsets.UTF_8));
    return connector
        .exchange(request.repeatable() ? call : call.onNewConnection())
        .handle(
            (answer, failure) -> {
              HttpAnswer received = require(answer, failure);
              return new ServiceResponse(
                  received.header(REQUEST_ID).orElse(""), received.status(), received.text());
            });
  }

  @Override
  public CompletableFuture<ServiceReport> report() {
    return connector
        .exchange(HttpCall.of("GET", address, REPORT_PATH))
        .handle(
            (answer, failure) -> Json.read(require(answer, failure).text(), ServiceReport.class));
  }

  /** Returns an answer of the service; a failure that the replica states is thrown. */
  private HttpAnswer require(HttpAnswer answer, Throwable failure) {
    if (failure != null) {
      Outcome outcome = HttpTransport.outcomeOf(failure);
      Step step = outcome == Outcome.NOT_RUN ? Step.CONNECT : Step.SEND;
      String message = "the connection to the replica failed: " + failure.getMessage();
      throw new BackendException(
          FailureCode.BACKEND_LOST, outcome, step, address, message, failure);
    }
    if (answer.status() >= 500 && FailureBody.parse(answer.text()).isPresent()) {
      throw FailureBody.backendFailure(address, answer.status(), answer.text());
    }
    return answer;
  }
}
