package org.basilport.service.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.http.FailureBody;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpResponse;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReport;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;

/**
 * HTTP client of one replica of an application service. A request that may not be repeated uses a
 * new connection, since the failure of a stale pooled connection does not tell whether bytes
 * arrived.
 */
public final class HttpServiceReplica implements ServiceReplica {
  /** Header field with the id of the attempt, repeated in the response. */
  public static final String REQUEST_ID = HttpTransport.REQUEST_ID;

  /** Header field with the key of a request that may not be repeated. */
  public static final String REQUEST_KEY = "Request-Key";

  /** Header field with the workspace of the caller. */
  public static final String WORKSPACE = "Basilport-Workspace";

  /** Header field that states whether the request may run more than once. */
  public static final String REPEATABLE = "Repeatable";

  /** Prefix of the paths of calls. */
  public static final String CALL_PREFIX = "/call/";

  /** Path of the load report. */
  public static final String REPORT_PATH = "/load";

  private final HttpTransport transport;
  private final String address;

  /** Creates a client of the replica at an IP address and port. */
  public HttpServiceReplica(HttpTransport transport, String address) {
    this.transport = transport;
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
    return transport
        .exchange(request.repeatable() ? call : call.onNewConnection())
        .handle(
            (response, failure) -> {
              HttpResponse received =
                  requireResponse(response, failure, Optional.of(request.requestId()));
              return new ServiceResponse(
                  received.header(REQUEST_ID).orElse(""), received.status(), received.text());
            });
  }

  @Override
  public CompletableFuture<ServiceReport> report() {
    return transport
        .exchange(HttpCall.of("GET", address, REPORT_PATH))
        .handle(
            (response, failure) ->
                Json.read(
                    requireResponse(response, failure, Optional.empty()).text(),
                    ServiceReport.class));
  }

  /**
   * Returns the response of the service; throws the failure of the connection or that the replica
   * reports. A failure without the id of the request may be a late second one to an earlier request
   * on the connection, and does not tell whether this one ran.
   */
  private HttpResponse requireResponse(
      HttpResponse response, Throwable failure, Optional<String> requestId) {
    if (failure != null) {
      Outcome outcome = HttpTransport.outcomeOf(failure);
      Step step = outcome == Outcome.NOT_RUN ? Step.CONNECT : Step.SEND;
      String message = "connection to the replica failed: " + failure.getMessage();
      throw new BackendException(
          FailureCode.BACKEND_LOST, outcome, step, address, message, failure);
    }
    if (response.status() >= 500 && FailureBody.parse(response.text()).isPresent()) {
      boolean own = requestId.isEmpty() || response.header(REQUEST_ID).equals(requestId);
      String body = own ? response.text() : "";
      throw FailureBody.backendFailure(address, response.status(), body);
    }
    return response;
  }
}
