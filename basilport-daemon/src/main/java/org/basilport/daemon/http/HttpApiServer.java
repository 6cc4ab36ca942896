package org.basilport.daemon.http;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.basilport.daemon.DaemonSettings;
import org.basilport.daemon.TimelineCollector;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.misc.Service;
import org.basilport.router.Router;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfigBuilder;

/** HTTP server of an instance, with the caller API, the operator API, health and metrics. */
public final class HttpApiServer implements Service {
  private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(10);

  private final DaemonSettings settings;
  private final Responder responder;
  private final CallerHandlers callerHandlers;
  private final OperatorHandlers operatorHandlers;
  private final HealthHandlers healthHandlers;
  private final OpenRequests openRequests = new OpenRequests();
  private RatpackServer server;

  /** Creates a server for a router; it listens once started. */
  public HttpApiServer(
      DaemonSettings settings,
      Router router,
      TimelineCollector timeline,
      OperatorActions actions,
      MetricRegistry metrics) {
    this.settings = settings;
    this.responder = new Responder(router.membership(), settings.maxBodyBytes());
    RequestReader reader = new RequestReader(settings.maxBodyBytes());
    this.callerHandlers = new CallerHandlers(router, reader, responder);
    this.operatorHandlers =
        new OperatorHandlers(router, timeline, actions, reader, responder, settings.operatorKey());
    this.healthHandlers = new HealthHandlers(router, metrics, reader, responder);
  }

  @Override
  public CompletableFuture<Void> start() {
    try {
      server =
          RatpackServer.start(
              definition ->
                  definition
                      .serverConfig(this::configure)
                      .registryOf(
                          registry ->
                              registry
                                  .add(ServerErrorHandler.class, responder)
                                  .add(ClientErrorHandler.class, responder))
                      .handlers(this::addRoutes));
      return CompletableFuture.completedFuture(null);
    } catch (Exception e) {
      return CompletableFuture.failedFuture(failure("cannot listen", e));
    }
  }

  /** Stops once the responses of all open requests are written, after 10 s at the latest. */
  @Override
  public CompletableFuture<Void> stop() {
    return openRequests.whenIdle(FLUSH_TIMEOUT).thenRunAsync(this::stopNow);
  }

  private void stopNow() {
    if (server == null) {
      return;
    }
    try {
      server.stop();
    } catch (Exception e) {
      throw failure("cannot stop", e);
    }
  }

  private void configure(ServerConfigBuilder config) throws Exception {
    HostAndPort address = HostAndPort.fromString(settings.instance().address());
    config
        .address(InetAddress.getByName(address.getHost()))
        .port(address.getPort())
        .maxContentLength(settings.maxBodyBytes())
        .development(false)
        .registerShutdownHook(false);
  }

  private void addRoutes(Chain chain) throws Exception {
    chain.all(openRequests);
    callerHandlers.addTo(chain);
    operatorHandlers.addTo(chain);
    healthHandlers.addTo(chain);
  }

  private UnavailableException failure(String problem, Exception cause) {
    return new UnavailableException(
        FailureCode.INTERNAL,
        Outcome.NOT_RUN,
        Step.CONNECT,
        settings.instance().address(),
        null,
        "HTTP server at " + settings.instance().address() + " " + problem + ": " + cause,
        cause);
  }
}
