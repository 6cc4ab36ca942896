package org.basilport.platform.http;

import java.io.IOException;
import java.io.UncheckedIOException;
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
import org.basilport.http.HttpCall;
import org.basilport.http.HttpResponse;
import org.basilport.http.HttpTransport;

/** Sends requests to the platform and converts responses into results and failures. */
final class PlatformHttpClient {
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;
  private static final int TOO_LARGE = 413;
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpTransport transport;
  private final String address;
  private final String clientId;

  PlatformHttpClient(HttpTransport transport, String address, String clientId) {
    this.transport = transport;
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

  /**
   * Sends a request; a response with status 404 is passed to the reader, since it means that an
   * object is absent. The call fails if the reader throws {@link #notOfTheCall} or {@code
   * UncheckedIOException}.
   */
  <T> CompletableFuture<T> send(HttpCall call, Function<HttpResponse, T> reader) {
    // A write whose response is lost may have run, so writes do not risk a stale pooled connection.
    boolean modifies = !call.method().equals("GET");
    return transport
        .exchange(modifies ? call.onNewConnection() : call)
        .handle(
            (response, failure) -> {
              if (failure != null) {
                throw unavailable(HttpTransport.outcomeOf(failure), String.valueOf(failure));
              }
              if (response.status() >= 400 && response.status() != NOT_FOUND) {
                throw errorResponse(response, modifies);
              }
              return read(response, reader, modifies);
            });
  }

  private <T> T read(HttpResponse response, Function<HttpResponse, T> reader, boolean modifies) {
    try {
      return reader.apply(response);
    } catch (UncheckedIOException e) {
      throw unavailable(
          modifies ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN, e.getCause().getMessage());
    }
  }

  /** Failure of a reader whose response does not belong to the call. */
  static UncheckedIOException notOfTheCall(HttpResponse response) {
    return new UncheckedIOException(
        new IOException("status " + response.status() + " without what the call asks for"));
  }

  /** Reads a response that says no more than its success. */
  static Void readSuccess(HttpResponse response) {
    if (!response.isSuccessful()) {
      throw notOfTheCall(response);
    }
    return null;
  }

  private BasilportException errorResponse(HttpResponse response, boolean modifies) {
    FailureBody body = FailureBody.parse(response.text()).orElse(null);
    String message = body == null ? "status " + response.status() : body.message();
    switch (response.status()) {
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
        return unavailable(modifies ? Outcome.MAY_HAVE_RUN : Outcome.NOT_RUN, message);
    }
  }

  private UnavailableException unavailable(Outcome outcome, String message) {
    return new UnavailableException(
        FailureCode.PLATFORM_UNAVAILABLE, outcome, Step.STORE, address, null, message, null);
  }
}
