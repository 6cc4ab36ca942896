package org.basilport.standin.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.engine.http.CompletionRequest;
import org.basilport.http.Json;
import org.basilport.standin.engine.SimulatedEngine;
import ratpack.exec.Execution;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * HTTP server for a simulated engine, with admin calls {@code POST /admin/leaving} and {@code POST
 * /admin/crash?restartAfterMillis=}. It does not listen while the engine is down, so that
 * connections are refused.
 */
public final class EngineHttpServer extends StandInServer {
  private static final int NO_CONTENT = 204;

  private final SimulatedEngine engine;

  /** Creates a server on a port of the loopback address, 0 for any free port. */
  public EngineHttpServer(SimulatedEngine engine, int port) {
    super(port);
    this.engine = engine;
    engine.onAvailability(this::availabilityChanged);
  }

  @Override
  void registerHandlers(Chain chain) throws Exception {
    chain
        .post("v1/completions", this::generate)
        .get("v1/generations/:id/stream", this::resume)
        .delete("v1/generations/:id", this::cancel)
        .get(
            "v1/load",
            context -> sendWhenComplete(context, engine.report(), r -> sendJson(context, r)))
        .post("v1/orders", this::order)
        .post("admin/leaving", context -> admin(context, engine::markLeaving))
        .post("admin/crash", this::crash);
  }

  private void generate(Context context) {
    context
        .getRequest()
        .getBody()
        .then(
            body -> {
              EngineRequest request =
                  Json.read(body.getText(), CompletionRequest.class).toEngineRequest();
              stream(context, listener -> engine.generate(request, listener));
            });
  }

  private void resume(Context context) {
    String id = generationId(context);
    long offset = Long.parseLong(context.getRequest().getQueryParams().get("from"));
    stream(context, listener -> engine.resume(id, offset, listener));
  }

  private static void stream(Context context, Function<TokenListener, TokenStream> opener) {
    Promise.<EngineEventStream>async(
            accepted -> new EngineEventStream(Execution.current().getEventLoop(), opener, accepted))
        .onError(failure -> sendFailure(context, failure))
        .then(
            events -> {
              context.getResponse().contentType("text/event-stream");
              context.getResponse().sendStream(events);
            });
  }

  private void cancel(Context context) {
    boolean onlyIfUnattached =
        Boolean.parseBoolean(context.getRequest().getQueryParams().get("if_unattached"));
    sendWhenComplete(
        context,
        engine.cancel(generationId(context), onlyIfUnattached),
        cancelled -> sendJson(context, cancelled));
  }

  private void order(Context context) {
    context
        .getRequest()
        .getBody()
        .then(
            body ->
                sendWhenComplete(
                    context,
                    engine.order(Json.read(body.getText(), EngineOrder.class)),
                    done -> context.getResponse().status(NO_CONTENT).send()));
  }

  private void crash(Context context) {
    engine.faults().automaticRestart(restartDelay(context));
    admin(context, engine::crash);
  }

  private static void admin(Context context, Runnable action) {
    context.getResponse().status(NO_CONTENT).send();
    action.run();
  }

  private static String generationId(Context context) {
    return URLDecoder.decode(context.getPathTokens().get("id"), StandardCharsets.UTF_8);
  }
}
