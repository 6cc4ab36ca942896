package org.basilport.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.Function;
import org.basilport.deferred.DeferredJob;
import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.delivery.GenerationRequest;
import org.basilport.membership.Location;
import org.basilport.router.CallRequest;
import org.basilport.router.Credentials;
import org.basilport.router.Router;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * Handlers of the caller API: location, streamed and deferred generations, and calls of application
 * services.
 */
final class CallerHandlers {
  private static final int ACCEPTED = 202;

  private final Router router;
  private final RequestReader reader;
  private final Responder responder;

  CallerHandlers(Router router, RequestReader reader, Responder responder) {
    this.router = router;
    this.reader = reader;
    this.responder = responder;
  }

  void addTo(Chain chain) throws Exception {
    chain
        .get("v1/locate", this::locate)
        .post("v1/generations", this::generate)
        .get("v1/generations/events", this::resume)
        .delete("v1/generations/:token", this::cancel)
        .post("v1/deferred", this::submitDeferred)
        .get("v1/deferred/:id", this::collectDeferred)
        .prefix("v1/services/:route", services -> services.all(this::call));
  }

  private void locate(Context context) {
    Location location =
        router.locate(
            reader.credentials(context),
            reader.requiredParameter(context, "route"),
            reader.parameter(context, "dataCentre"));
    responder.send(context, new LocationBody(location.addresses(), location.lifetime().toMillis()));
  }

  private void generate(Context context) {
    Credentials credentials = reader.credentials(context);
    reader
        .json(context, GenerationRequest.class)
        .then(
            request ->
                stream(context, listener -> router.generate(credentials, request, listener)));
  }

  private void resume(Context context) {
    Credentials credentials = reader.credentials(context);
    String token = reader.requiredHeader(context, RequestReader.LAST_EVENT_ID);
    stream(context, listener -> router.resume(credentials, token, listener));
  }

  private void stream(Context context, Function<GenerationListener, GenerationHandle> start) {
    EventLoop loop = context.getExecution().getEventLoop();
    GenerationStream stream = new GenerationStream(loop, responder::toFailureBody);
    Promise.<Boolean>async(first -> open(context, stream, start, first))
        .then(ready -> responder.sendEvents(context, stream));
  }

  private void open(
      Context context,
      GenerationStream stream,
      Function<GenerationListener, GenerationHandle> start,
      Downstream<? super Boolean> first) {
    GenerationHandle handle = start.apply(stream);
    if (!handle.requestId().isEmpty()) {
      context.header(Responder.REQUEST_ID, handle.requestId());
    }
    stream.open(handle, first);
    Channel channel = context.getDirectChannelAccess().getChannel();
    ChannelFutureListener onClose = closed -> stream.disconnect();
    channel.closeFuture().addListener(onClose);
    context.onClose(outcome -> channel.closeFuture().removeListener(onClose));
  }

  private void cancel(Context context) {
    Credentials credentials = reader.credentials(context);
    String token = context.getPathTokens().get("token");
    responder
        .toPromise(() -> router.cancel(credentials, token))
        .then(cancelled -> responder.send(context, new CancelBody(cancelled)));
  }

  private void submitDeferred(Context context) {
    Credentials credentials = reader.credentials(context);
    reader
        .json(context, GenerationRequest.class)
        .flatMap(request -> responder.toPromise(() -> router.submitDeferred(credentials, request)))
        .then(id -> responder.send(context, ACCEPTED, new JobAcceptedBody(id)));
  }

  private void collectDeferred(Context context) {
    Credentials credentials = reader.credentials(context);
    String id = context.getPathTokens().get("id");
    responder
        .toPromise(() -> router.collectDeferred(credentials, id))
        .then(job -> sendJob(context, job));
  }

  private void sendJob(Context context, DeferredJob job) {
    boolean running =
        job.state() == DeferredJob.State.QUEUED || job.state() == DeferredJob.State.RUNNING;
    JobBody body =
        new JobBody(job.id(), job.state(), job.result().orElse(null), job.failure().orElse(null));
    responder.send(context, running ? ACCEPTED : Responder.OK, body);
  }

  private void call(Context context) {
    if (!context.getRequest().getMethod().isPost()) {
      throw RequestReader.malformed("calls of application services must use POST");
    }
    Credentials credentials = reader.credentials(context);
    boolean repeatable = repeatable(context);
    String key =
        repeatable
            ? reader.header(context, RequestReader.REQUEST_KEY).orElse("")
            : reader.requiredHeader(context, RequestReader.REQUEST_KEY);
    String route = context.getPathTokens().get("route");
    String path = "/" + context.getPathBinding().getPastBinding();
    reader
        .text(context)
        .flatMap(
            body -> {
              CallRequest request = new CallRequest(route, path, key, repeatable, body);
              return responder.toPromise(() -> router.call(credentials, request));
            })
        .then(result -> responder.sendCallResult(context, result));
  }

  private boolean repeatable(Context context) {
    String value = reader.requiredHeader(context, RequestReader.REPEATABLE);
    if (value.equals("true") || value.equals("false")) {
      return value.equals("true");
    }
    throw RequestReader.malformed("header Repeatable must be 'true' or 'false'");
  }

  /** Response with the instances to use for a route. */
  record LocationBody(List<String> addresses, long lifetimeMillis) {}

  /** Response that tells whether a generation was cancelled. */
  record CancelBody(boolean cancelled) {}

  /** Id of an accepted job. */
  record JobAcceptedBody(String id) {}

  /** State of a job; result and failure are null while unknown. */
  record JobBody(String id, DeferredJob.State state, String result, String failure) {}
}
