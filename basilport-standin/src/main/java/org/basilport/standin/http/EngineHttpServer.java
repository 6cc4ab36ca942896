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
 * A simulated engine over HTTP, with admin calls {@code POST /admin/leaving}, {@code /admin/crash}
 * and {@code /admin/restart}. While the engine is down, connections are accepted and closed without
 * an answer; stop the server to have them refused.
 */
public final class EngineHttpServer extends StandInServer {
  private static final int NO_CONTENT = 204;

  private final SimulatedEngine engine;

  /** Creates a server on a port of the loopback address, 0 for any. */
  public EngineHttpServer(SimulatedEngine engine, int port) {
    super(port);
    this.engine = engine;
  }

  @Override
  void addHandlers(Chain chain) throws Exception {
    chain
        .post("v1/completions", this::generate)
        .get("v1/generations/:id/stream", this::resume)
        .delete("v1/generations/:id", this::cancel)
        .get("v1/load", context -> await(context, engine.report(), r -> sendJson(context, r)))
        .post("v1/orders", this::order)
        .post("admin/leaving", context -> admin(context, engine::markLeaving))
        .post("admin/crash", context -> admin(context, engine::crash))
        .post("admin/restart", context -> admin(context, engine::restart));
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
    String id = id(context);
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
    await(
        context,
        engine.cancel(id(context), onlyIfUnattached),
        cancelled -> sendJson(context, cancelled));
  }

  private void order(Context context) {
    context
        .getRequest()
        .getBody()
        .then(
            body ->
                await(
                    context,
                    engine.order(Json.read(body.getText(), EngineOrder.class)),
                    done -> context.getResponse().status(NO_CONTENT).send()));
  }

  private static void admin(Context context, Runnable action) {
    action.run();
    context.getResponse().status(NO_CONTENT).send();
  }

  private static String id(Context context) {
    return URLDecoder.decode(context.getPathTokens().get("id"), StandardCharsets.UTF_8);
  }
}
