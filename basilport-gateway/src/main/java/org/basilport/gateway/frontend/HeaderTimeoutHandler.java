package org.basilport.gateway.frontend;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose first request head is not complete within a timeout, as a protection
 * against callers that send the head byte by byte (Slowloris).
 */
final class HeaderTimeoutHandler extends ChannelInboundHandlerAdapter {
  private final Duration timeout;
  private ScheduledFuture<?> timer;
  private boolean undecodedBytes;

  HeaderTimeoutHandler(Duration timeout) {
    this.timeout = timeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    undecodedBytes = true;
    if (timer == null) {
      timer =
          context
              .executor()
              .schedule(() -> onTimer(context), timeout.toNanos(), TimeUnit.NANOSECONDS);
    }
    context.fireChannelRead(message);
  }

  /** Called when a head or a whole request was decoded from the bytes received so far. */
  void onDecoded() {
    undecodedBytes = false;
  }

  /** Whether bytes were received since then; without a request in progress they begin a head. */
  boolean hasUndecodedBytes() {
    return undecodedBytes;
  }

  private void onTimer(ChannelHandlerContext context) {
    CallerConnection connection = context.pipeline().get(CallerConnection.class);
    if (!connection.hasReceivedHead()) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (timer != null) {
      timer.cancel(false);
    }
    context.fireChannelInactive();
  }
}
