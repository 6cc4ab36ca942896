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
import org.basilport.http.HttpAnswer;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;

/** An engine over HTTP; each stream has a connection of its own. */
public final class HttpModelEngine implements ModelEngine {
  private static final String JSON = "application/json";

  private final HttpTransport connector;
  private final String address;

  /** Creates a client of the engine at an IP address and port. */
  public HttpModelEngine(HttpTransport connector, String address) {
    this.connector = connector;
    this.address = address;
  }

  @Override
  public TokenStream generate(EngineRequest request, TokenListener listener) {
    byte[] body = Json.bytes(CompletionRequest.of(request));
    return open(HttpCall.of("POST", address, "/v1/completions").withBody(JSON, body), listener);
  }

  @Override
  public TokenStream resume(String generationId, long offset, TokenListener listener) {
    String path = "/v1/generations/" + encode(generationId) + "/stream?from=" + offset;
    return open(HttpCall.of("GET", address, path), listener);
  }

  private TokenStream open(HttpCall call, TokenListener listener) {
    HttpTokenStream stream = new HttpTokenStream(address, connector, listener);
    stream.open(connector, call.onNewConnection());
    return stream;
  }

  @Override
  public CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached) {
    String path = "/v1/generations/" + encode(generationId) + "?if_unattached=" + onlyIfUnattached;
    return exchange(
        HttpCall.of("DELETE", address, path), answer -> Boolean.parseBoolean(answer.text()));
  }

  @Override
  public CompletableFuture<EngineReport> report() {
    return exchange(
        HttpCall.of("GET", address, "/v1/load"),
        answer -> Json.read(answer.text(), EngineReport.class));
  }

  @Override
  public CompletableFuture<Void> order(EngineOrder order) {
    HttpCall call = HttpCall.of("POST", address, "/v1/orders").withBody(JSON, Json.bytes(order));
    return exchange(call, answer -> null);
  }

  private <T> CompletableFuture<T> exchange(HttpCall call, Function<HttpAnswer, T> reader) {
    return connector
        .exchange(call)
        .handle(
            (answer, failure) -> {
              if (failure != null) {
                throw lost(failure);
              }
              if (!answer.succeeded()) {
                throw refusal(answer);
              }
              return reader.apply(answer);
            });
  }

  private BasilportException refusal(HttpAnswer answer) {
    BackendException failure = FailureBody.backendFailure(address, answer.status(), answer.text());
    return failure.code() == FailureCode.CONFLICT
        ? new ConflictException(Step.SEND, address, failure.getMessage())
        : failure;
  }

  private BackendException lost(Throwable cause) {
    Outcome outcome = HttpTransport.outcomeOf(cause);
    Step step = outcome == Outcome.NOT_RUN ? Step.CONNECT : Step.SEND;
    String message = "the connection to the engine failed: " + cause.getMessage();
    return new BackendException(FailureCode.BACKEND_LOST, outcome, step, address, message, cause);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
