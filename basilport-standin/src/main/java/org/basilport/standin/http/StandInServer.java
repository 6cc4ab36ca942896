package org.basilport.standin.http;

import java.net.InetAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.http.FailureBody;
import org.basilport.http.Json;
import org.basilport.misc.Service;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.Headers;
import ratpack.server.RatpackServer;

/** Ratpack server on the loopback address, which keeps its port when it is restarted. */
abstract class StandInServer implements Service {
  private static final int MAX_BODY_BYTES = 4_000_000;
  private static final int THREADS = 2;
  private static final Duration DEFAULT_RESTART_DELAY = Duration.ofSeconds(3);
  private static final int PRECONDITION_FAILED = 412;

  private volatile boolean startRequested;
  private volatile boolean available = true;
  private int port;
  private RatpackServer server;

  /**
   * Creates a server.
   *
   * @param port port to listen on, or 0 for any free port
   */
  StandInServer(int port) {
    this.port = port;
  }

  abstract void registerHandlers(Chain chain) throws Exception;

  /** Delay of the restart after a crash by an admin call: the parameter's value or the default. */
  static Duration restartDelay(Context context) {
    String millis = context.getRequest().getQueryParams().get("restartAfterMillis");
    return millis == null ? DEFAULT_RESTART_DELAY : Duration.ofMillis(Long.parseLong(millis));
  }

  /** IP address and port; an arbitrary free port is known only after the start. */
  public synchronized String address() {
    return "127.0.0.1:" + port;
  }

  @Override
  public CompletableFuture<Void> start() {
    startRequested = true;
    return CompletableFuture.runAsync(this::reconcile);
  }

  @Override
  public CompletableFuture<Void> stop() {
    startRequested = false;
    return CompletableFuture.runAsync(this::reconcile);
  }

  /** Stops listening while the stand-in is unavailable, so that connections are refused. */
  void availabilityChanged(boolean nowAvailable) {
    available = nowAvailable;
    CompletableFuture.runAsync(this::reconcile);
  }

  private synchronized void reconcile() {
    if (startRequested && available) {
      startNow();
    } else {
      stopNow();
    }
  }

  private void startNow() {
    if (server != null) {
      return;
    }
    try {
      RatpackServer started =
          RatpackServer.of(
              spec ->
                  spec.serverConfig(
                          config ->
                              config
                                  .port(port)
                                  .address(InetAddress.getByName("127.0.0.1"))
                                  .threads(THREADS)
                                  .development(false)
                                  .registerShutdownHook(false)
                                  .maxContentLength(MAX_BODY_BYTES))
                      .handlers(this::registerHandlers));
      started.start();
      server = started;
      port = started.getBindPort();
    } catch (Exception e) {
      throw new IllegalStateException("cannot start the stand-in server on port " + port, e);
    }
  }

  private void stopNow() {
    if (server == null) {
      return;
    }
    try {
      server.stop();
      server = null;
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the stand-in server", e);
    }
  }

  /** Passes a result to the sender once it completes; a failure is sent to the caller instead. */
  static <T> void sendWhenComplete(
      Context context, CompletableFuture<T> result, Consumer<T> sender) {
    Promise.<T>async(downstream -> downstream.accept(result))
        .onError(failure -> sendFailure(context, failure))
        .then(sender::accept);
  }

  static void sendJson(Context context, Object value) {
    context.getResponse().contentType("application/json").send(Json.bytes(value));
  }

  /** Sends a failure; a lost backend server is reported by closing the connection. */
  static void sendFailure(Context context, Throwable cause) {
    BasilportException failure = BasilportException.unwrap(cause, Outcome.MAY_HAVE_RUN, Step.SEND);
    if (failure.code() == FailureCode.BACKEND_LOST) {
      context.getDirectChannelAccess().getChannel().close();
      return;
    }
    int status = statusOf(context, failure);
    context.getResponse().status(status).contentType("application/json");
    context.getResponse().send(Json.bytes(FailureBody.of(failure)));
  }

  private static int statusOf(Context context, BasilportException failure) {
    Headers headers = context.getRequest().getHeaders();
    boolean conditional = headers.contains("If-Match") || headers.contains("If-None-Match");
    return conditional && failure.code() == FailureCode.CONFLICT
        ? PRECONDITION_FAILED
        : failure.code().httpStatus();
  }
}
