package org.basilport.standin.http;

import java.time.Duration;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;
import org.basilport.service.http.HttpServiceReplica;
import org.basilport.standin.service.CountingServiceReplica;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.Headers;

/**
 * HTTP server for a replica of an application service, with admin calls {@code POST /admin/leaving}
 * and {@code POST /admin/crash?restartAfterMillis=}. It does not listen while the replica is down,
 * so that connections are refused.
 */
public final class ServiceHttpServer extends StandInServer {
  private static final int NO_CONTENT = 204;

  private final CountingServiceReplica service;

  /** Creates a server on a port of the loopback address, 0 for any free port. */
  public ServiceHttpServer(CountingServiceReplica service, int port) {
    super(port);
    this.service = service;
    service.onAvailability(this::availabilityChanged);
  }

  @Override
  void registerHandlers(Chain chain) throws Exception {
    chain
        .get(
            "load",
            context -> sendWhenComplete(context, service.report(), r -> sendJson(context, r)))
        .prefix("call", calls -> calls.all(this::call))
        .post("admin/leaving", context -> admin(context, service::markLeaving))
        .post("admin/crash", this::crash);
  }

  private void call(Context context) {
    Headers headers = context.getRequest().getHeaders();
    String path = context.getPathBinding().getPastBinding();
    context
        .getResponse()
        .getHeaders()
        .set(HttpServiceReplica.REQUEST_ID, value(headers, HttpServiceReplica.REQUEST_ID));
    context
        .getRequest()
        .getBody()
        .then(
            body -> {
              ServiceRequest request =
                  new ServiceRequest(
                      value(headers, HttpServiceReplica.REQUEST_ID),
                      value(headers, HttpServiceReplica.REQUEST_KEY),
                      value(headers, HttpServiceReplica.WORKSPACE),
                      path,
                      Boolean.parseBoolean(value(headers, HttpServiceReplica.REPEATABLE)),
                      body.getText());
              sendWhenComplete(context, service.call(request), response -> send(context, response));
            });
  }

  private static void send(Context context, ServiceResponse response) {
    context.getResponse().getHeaders().set(HttpServiceReplica.REQUEST_ID, response.requestId());
    context.getResponse().status(response.status()).send(response.body());
  }

  private static String value(Headers headers, String name) {
    String value = headers.get(name);
    return value == null ? "" : value;
  }

  private void crash(Context context) {
    Duration delay = restartDelay(context);
    admin(context, () -> service.crashAndRestart(delay));
  }

  private static void admin(Context context, Runnable action) {
    context.getResponse().status(NO_CONTENT).send();
    action.run();
  }
}
