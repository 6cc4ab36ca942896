package org.basilport.platform.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.http.FailureBody;
import org.basilport.http.HttpAnswer;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTransport;

/** Sends calls to the platform and turns answers into results and failures. */
final class PlatformHttp {
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;
  private static final int TOO_LARGE = 413;
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpTransport connector;
  private final String address;
  private final String clientId;

  PlatformHttp(HttpTransport connector, String address, String clientId) {
    this.connector = connector;
    this.address = address;
    this.clientId = clientId;
  }

  HttpCall call(String method, String pathAndQuery) {
    return HttpCall.of(method, address, pathAndQuery)
        .withHeader(HttpObjectStore.CLIENT_ID, clientId);
  }

  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  /** Sends a call; an answer with 404 is passed on, since it means that an object is absent. */
  <T> CompletableFuture<T> send(HttpCall call, Function<HttpAnswer, T> reader) {
    // A write whose answer is lost may have run, so it does not depend on a pooled connection.
    boolean changes = !call.method().equals("GET");
    return connector
        .exchange(changes ? call.onNewConnection() : call)
        .handle(
            (answer, failure) -> {
              if (failure != null) {
                throw unavailable(HttpTransport.outcomeOf(failure), String.valueOf(failure));
              }
              if (answer.status() >= 400 && answer.status() != NOT_FOUND) {
                throw failure(answer, changes);
              }
              return reader.apply(answer);
            });
  }

  private BasilportException failure(HttpAnswer answer, boolean changes) {
    FailureBody body = FailureBody.parse(answer.text()).orElse(null);
    String message = body == null ? "status " + answer.status() : body.message();
    switch (answer.status()) {
      case PRECONDITION_FAILED:
        return new ConflictException(Step.STORE, address, message);
      case TOO_LARGE:
        return new RejectedException(FailureCode.TOO_LARGE, Step.STORE, message);
      case TOO_MANY_REQUESTS:
        return new RejectedException(
            FailureCode.OVER_LIMIT,
            Step.STORE,
            body == null ? null : body.retryAfter().orElse(null),
            message);
      default:
        return unavailable(changes ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN, message);
    }
  }

  private UnavailableException unavailable(Outcome outcome, String message) {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE, outcome, Step.STORE, address, null, message, null);
  }
}
