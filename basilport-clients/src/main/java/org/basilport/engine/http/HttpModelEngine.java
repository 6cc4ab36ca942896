package org.basilport.engine.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BackendException;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.http.FailureBody;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpResponse;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;

/** HTTP client of a model engine; each stream has its own connection. */
public final class HttpModelEngine implements ModelEngine {
  private static final String CONTENT_TYPE_JSON = "application/json";

  private final HttpTransport transport;
  private final String address;

  /** Creates a client of the engine at an IP address and port. */
  public HttpModelEngine(HttpTransport transport, String address) {
    this.transport = transport;
    this.address = address;
  }

  @Override
  public TokenStream generate(EngineRequest request, TokenListener listener) {
    byte[] body = Json.bytes(CompletionRequest.of(request));
    return open(
        HttpCall.of("POST", address, "/v1/completions").withBody(CONTENT_TYPE_JSON, body),
        listener);
  }

  @Override
  public TokenStream resume(String generationId, long offset, TokenListener listener) {
    String path = "/v1/generations/" + encode(generationId) + "/stream?from=" + offset;
    return open(HttpCall.of("GET", address, path), listener);
  }

  private TokenStream open(HttpCall call, TokenListener listener) {
    HttpTokenStream stream = new HttpTokenStream(address, transport, listener);
    stream.open(transport, call.onNewConnection());
    return stream;
  }

  @Override
  public CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached) {
    String path = "/v1/generations/" + encode(generationId) + "?if_unattached=" + onlyIfUnattached;
    return exchange(
        HttpCall.of("DELETE", address, path), response -> Boolean.parseBoolean(response.text()));
  }

  @Override
  public CompletableFuture<EngineReport> report() {
    return exchange(
        HttpCall.of("GET", address, "/v1/load"),
        response -> Json.read(response.text(), EngineReport.class));
  }

  @Override
  public CompletableFuture<Void> order(EngineOrder order) {
    HttpCall call =
        HttpCall.of("POST", address, "/v1/orders").withBody(CONTENT_TYPE_JSON, Json.bytes(order));
    return exchange(call, response -> null);
  }

  private <T> CompletableFuture<T> exchange(HttpCall call, Function<HttpResponse, T> reader) {
    return transport
        .exchange(call)
        .handle(
            (response, failure) -> {
              if (failure != null) {
                throw connectionFailure(failure);
              }
              if (!response.isSuccessful()) {
                throw errorResponse(response);
              }
              return reader.apply(response);
            });
  }

  private BasilportException errorResponse(HttpResponse response) {
    BackendException failure =
        FailureBody.backendFailure(address, response.status(), response.text());
    return failure.code() == FailureCode.CONFLICT
        ? new ConflictException(Step.SEND, address, failure.getMessage())
        : failure;
  }

  private BackendException connectionFailure(Throwable cause) {
    Outcome outcome = HttpTransport.outcomeOf(cause);
    Step step = outcome == Outcome.NOT_RUN ? Step.CONNECT : Step.SEND;
    String message = "connection to the engine failed: " + cause.getMessage();
    return new BackendException(FailureCode.BACKEND_LOST, outcome, step, address, message, cause);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
