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
 * Sends HTTP requests on one shared {@code ExecController}. Redirects are not followed, since they
 * would send a request twice. Results complete on an event loop thread, which must not be blocked.
 */
public final class HttpTransport implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 2_000_000;
  private static final int MAX_POOLED_CONNECTIONS = 16;

  private final ExecController execController;
  private final boolean ownsExecController;
  private final HttpTimeouts timeouts;
  private final HttpClient pooled;
  private final HttpClient unpooled;

  /** Creates a transport that does not close the controller. */
  public HttpTransport(ExecController execController, HttpTimeouts timeouts) {
    this(execController, timeouts, false);
  }

  private HttpTransport(
      ExecController execController, HttpTimeouts timeouts, boolean ownsExecController) {
    this.execController = execController;
    this.ownsExecController = ownsExecController;
    this.timeouts = timeouts;
    this.pooled = createClient(MAX_POOLED_CONNECTIONS);
    this.unpooled = createClient(0);
  }

  /**
   * Creates a transport that owns its controller, for use outside a Ratpack server. Ratpack 1.9
   * offers no public way to create a controller outside a server.
   */
  public static HttpTransport standalone(int threads, HttpTimeouts timeouts) {
    return new HttpTransport(new DefaultExecController(threads), timeouts, true);
  }

  private HttpClient createClient(int poolSize) {
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
      throw new IllegalStateException("cannot create the HTTP client", e);
    }
  }

  /** Controller whose event loops run the requests. */
  public ExecController execController() {
    return execController;
  }

  /**
   * Sends a request and reads the complete response; fails with the exception of the HTTP client.
   */
  public CompletableFuture<HttpResponse> exchange(HttpCall call) {
    CompletableFuture<HttpResponse> result = new CompletableFuture<>();
    HttpClient client = call.reuseConnection() ? pooled : unpooled;
    Duration timeout = timeouts.answer().plus(call.extraWait());
    execController
        .fork()
        .onError(result::completeExceptionally)
        .start(
            execution ->
                client
                    .request(call.uri(), spec -> configure(spec.readTimeout(timeout), call))
                    .then(response -> result.complete(toResponse(response))));
    return result;
  }

  /** Client that opens a new connection for each request. */
  public HttpClient unpooledClient() {
    return unpooled;
  }

  /** Returns an action that copies a call into a request of the HTTP client. */
  public static Action<RequestSpec> requestConfigurer(HttpCall call) {
    return spec -> configure(spec, call);
  }

  private static void configure(RequestSpec spec, HttpCall call) throws Exception {
    spec.method(call.method()).redirects(0);
    spec.headers(headers -> call.headers().forEach(headers::set));
    if (call.body().length > 0) {
      spec.body(body -> body.bytes(call.body()));
    }
  }

  private static HttpResponse toResponse(ReceivedResponse response) {
    return new HttpResponse(
        response.getStatusCode(), response.getHeaders(), response.getBody().getBytes());
  }

  /**
   * Classifies a failure of the HTTP client: NOT_RUN if no connection was established, so that no
   * byte was sent; otherwise MAY_HAVE_RUN.
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
    if (ownsExecController) {
      execController.close();
    }
  }
}
