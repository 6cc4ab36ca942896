package org.basilport.http;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.basilport.error.Outcome;
import ratpack.exec.ExecController;
import ratpack.exec.internal.DefaultExecController;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * Sends HTTP requests on one shared {@code ExecController}. Redirects are not followed, since a
 * redirect would send a request twice. Results complete on an event loop thread, which must not be
 * blocked.
 */
public final class HttpTransport implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 2_000_000;
  private static final int POOL_SIZE = 16;

  private final ExecController execController;
  private final boolean ownsController;
  private final HttpTimeouts timeouts;
  private final HttpClient pooled;
  private final HttpClient unpooled;

  /** Creates a connector; the controller stays open when the connector is closed. */
  public HttpTransport(ExecController execController, HttpTimeouts timeouts) {
    this(execController, timeouts, false);
  }

  private HttpTransport(
      ExecController execController, HttpTimeouts timeouts, boolean ownsController) {
    this.execController = execController;
    this.ownsController = ownsController;
    this.timeouts = timeouts;
    this.pooled = client(POOL_SIZE);
    this.unpooled = client(0);
  }

  /**
   * Creates a connector with a controller of its own, for processes without a Ratpack server.
   * Ratpack 1.9 offers no public way to create a controller outside a server.
   */
  public static HttpTransport standalone(int threads, HttpTimeouts timeouts) {
    return new HttpTransport(new DefaultExecController(threads), timeouts, true);
  }

  private HttpClient client(int poolSize) {
    try {
      return HttpClient.of(
          spec ->
              spec.execController(execController)
                  .poolSize(poolSize)
                  .idleTimeout(timeouts.idle())
                  .connectTimeout(timeouts.connect())
                  .readTimeout(timeouts.answer())
                  .maxContentLength(MAX_BODY_BYTES));
    } catch (Exception e) {
      throw new IllegalStateException("the HTTP client could not be created", e);
    }
  }

  /** The controller whose event loops carry the requests. */
  public ExecController execController() {
    return execController;
  }

  /** Sends a request and reads its whole answer; fails with the exception of the HTTP client. */
  public CompletableFuture<HttpAnswer> exchange(HttpCall call) {
    CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    HttpClient client = call.reuseConnection() ? pooled : unpooled;
    Duration limit = timeouts.answer().plus(call.extraWait());
    execController
        .fork()
        .onError(result::completeExceptionally)
        .start(
            execution ->
                client
                    .request(call.uri(), spec -> fill(spec.readTimeout(limit), call))
                    .then(response -> result.complete(answer(response))));
    return result;
  }

  /** Client for requests that need a connection of their own. */
  public HttpClient unpooledClient() {
    return unpooled;
  }

  /** Copies a call into the request of the HTTP client. */
  public static Action<RequestSpec> filler(HttpCall call) {
    return spec -> fill(spec, call);
  }

  private static void fill(RequestSpec spec, HttpCall call) throws Exception {
    spec.method(call.method()).redirects(0);
    spec.headers(headers -> call.headers().forEach(headers::set));
    if (call.body().length > 0) {
      spec.body(body -> body.bytes(call.body()));
    }
  }

  private static HttpAnswer answer(ReceivedResponse response) {
    return new HttpAnswer(
        response.getStatusCode(), response.getHeaders(), response.getBody().getBytes());
  }

  /**
   * What a failure of the HTTP client says about the request: NOT_RUN only when no connection was
   * made. All these exceptions arise before the first byte is sent.
   */
  public static Outcome outcomeOf(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException
          || cause instanceof NoRouteToHostException
          || cause instanceof UnknownHostException) {
        return Outcome.NOT_RUN;
      }
    }
    return Outcome.MAY_HAVE_RUN;
  }

  @Override
  public void close() {
    pooled.close();
    unpooled.close();
    if (ownsController) {
      execController.close();
    }
  }
}
