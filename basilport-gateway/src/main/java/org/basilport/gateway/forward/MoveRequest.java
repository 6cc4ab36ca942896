package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.basilport.gateway.backend.BackendConnection;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ResponseListener;
import org.basilport.gateway.message.MoveResult;
import org.basilport.gateway.message.ServerResponse;

/** Request to an engine to copy the KV cache of a generation to another engine. */
final class MoveRequest implements ResponseListener {
  /** Time after which the request fails without a response. */
  private static final long TIMEOUT_MILLIS = 2_500;

  private final ForwardingContext context;
  private final BackendConnection connection;
  private final Consumer<MoveResult> onResult;
  private final ResponseBody body;
  private final ScheduledFuture<?> timeout;
  private int status;

  private MoveRequest(
      ForwardingContext context, BackendConnection connection, Consumer<MoveResult> onResult) {
    this.context = context;
    this.connection = connection;
    this.onResult = onResult;
    this.body = new ResponseBody(context.responseBuffer());
    this.timeout =
        context.eventLoop().schedule(this::onTimeout, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request.
   *
   * @param source engine that runs the generation
   * @param target engine that receives the copy
   * @param finalCopy whether the source stops the generation
   * @param onResult receives the result, or {@link MoveResult#UNREACHABLE} or {@link
   *     MoveResult#NO_RESPONSE}
   */
  static void send(
      ForwardingContext context,
      BackendServer source,
      BackendServer target,
      String generationId,
      boolean finalCopy,
      Consumer<MoveResult> onResult) {
    source
        .connections()
        .acquireForUnidentifiedAnswer(
            connection ->
                connection.send(
                    context
                        .codec()
                        .encodeMoveRequest(
                            generationId,
                            target.entry().address(),
                            finalCopy,
                            source.entry().address()),
                    generationId,
                    new MoveRequest(context, connection, onResult)),
            reason -> onResult.accept(MoveResult.UNREACHABLE));
  }

  private void onTimeout() {
    connection.abandon();
    body.clear();
    onResult.accept(MoveResult.NO_RESPONSE);
  }

  /** Engines do not echo the id of a generation in the response to a request to move it. */
  @Override
  public boolean identified() {
    return false;
  }

  @Override
  public void onHead(ServerResponse response, HttpResponse head) {
    status = response.status();
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
    timeout.cancel(false);
    byte[] answer = body.toByteArray();
    body.clear();
    onResult.accept(context.codec().decodeMoveResult(status, answer));
  }

  @Override
  public void onFailure(String reason) {
    timeout.cancel(false);
    body.clear();
    onResult.accept(MoveResult.NO_RESPONSE);
  }
}
