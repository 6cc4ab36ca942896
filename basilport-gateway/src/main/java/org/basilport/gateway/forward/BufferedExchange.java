package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Step;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.gateway.message.ServerResponse;

/**
 * Exchange whose response is buffered and sent to the caller when it is complete. An incomplete
 * response can therefore be replaced by the response of another server.
 */
final class BufferedExchange extends Exchange {
  /**
   * Timeout of one attempt as a multiple of the target latency. Without it, a server that accepts
   * requests and never responds would hold them until their deadline.
   */
  private static final double ATTEMPT_TIMEOUT_RATIO = 3;

  private ScheduledFuture<?> attemptTimer;
  private final ResponseBody body = new ResponseBody(context.responseBuffer());
  private ServerResponse response;
  private HttpHeaders headers;

  BufferedExchange(
      ForwardingContext context,
      CallerRequest request,
      ForwardingRoute route,
      Optional<KeyHolder> holder,
      ResponseChannel caller) {
    super(context, request, route, holder, caller);
  }

  @Override
  void beforeSend() {
    cancelAttemptTimer();
    if (route.repeatability() == Repeatability.IDEMPOTENT) {
      long timeoutNanos = Math.round(ATTEMPT_TIMEOUT_RATIO * route.targetLatency().toNanos());
      attemptTimer =
          context.eventLoop().schedule(this::onAttemptTimeout, timeoutNanos, TimeUnit.NANOSECONDS);
    }
  }

  private void onAttemptTimeout() {
    if (finished() || connection == null || !tryAcquireRetry()) {
      return;
    }
    server.load().health().recordFailure(System.nanoTime());
    connection.abandon();
    retry("no response within the attempt timeout");
  }

  private void cancelAttemptTimer() {
    if (attemptTimer != null) {
      attemptTimer.cancel(false);
    }
  }

  @Override
  void onFinished() {
    cancelAttemptTimer();
    body.clear();
  }

  @Override
  public void onHead(ServerResponse serverResponse, HttpResponse httpResponse) {
    onAnswerStarted(serverResponse);
    response = serverResponse;
    headers = context.codec().responseHeaders(httpResponse);
    body.clear();
  }

  @Override
  public void onContent(ByteBuf content) {
    if (!body.append(content)) {
      connection.abandon();
      onFailure("answer is too large to be kept");
    }
  }

  @Override
  public void onComplete() {
    BackendServer responder = server;
    if (response.notExecuted() || response.status() == 421) {
      responder.recordFailedAnswer(response);
      onRefusedByServer("server " + responder.entry().id() + " refused: " + response.status());
      return;
    }
    if (response.successful() && (!response.signed() || response.contentEncoded())) {
      onFailure("answer is not the server's own");
      return;
    }
    if (response.status() >= 500) {
      responder.recordFailedAnswer(response);
      if (tryAcquireRetry()) {
        retry("status " + response.status());
        return;
      }
    } else {
      responder.load().health().recordSuccess();
    }
    if (!UnprovenRefusal.fail(this, response, Step.COLLECT)) {
      deliver();
    }
  }

  private void deliver() {
    crashGuard.onAnswered();
    context
        .metrics()
        .histogram("forward.latency_ms." + route.repeatability().name().toLowerCase())
        .update(elapsedMillis());
    recorder.finished(response.status(), elapsedMillis());
    if (!callerDisconnected()) {
      caller.send(response.status(), headers, body.toByteArray());
    }
    finish();
  }

  @Override
  public void onFailure(String reason) {
    recordConnectionLoss();
    server.load().health().recordFailure(System.nanoTime());
    if (tryAcquireRetry()) {
      retry(reason);
      return;
    }
    sendLocalReply(502, new DefaultHttpHeaders(), Step.COLLECT, reason);
  }

  @Override
  void onTimeout() {
    if (connection != null) {
      server.load().health().recordFailure(System.nanoTime());
      connection.abandon();
    }
    sendLocalReply(504, new DefaultHttpHeaders(), Step.COLLECT, "time limit reached");
  }
}
