package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
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
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final ScheduledFuture<?> timeout;
  private int status;

  private MoveRequest(
      ForwardingContext context, BackendConnection connection, Consumer<MoveResult> onResult) {
    this.context = context;
    this.connection = connection;
    this.onResult = onResult;
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
        .acquire(
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
    onResult.accept(MoveResult.NO_RESPONSE);
  }

  @Override
  public void onHead(ServerResponse response, HttpResponse head) {
    status = response.status();
  }

  @Override
  public void onContent(ByteBuf content) {
    body.writeBytes(ByteBufUtil.getBytes(content));
  }

  @Override
  public void onComplete() {
    timeout.cancel(false);
    onResult.accept(context.codec().decodeMoveResult(status, body.toByteArray()));
  }

  @Override
  public void onFailure(String reason) {
    timeout.cancel(false);
    onResult.accept(MoveResult.NO_RESPONSE);
  }
}
