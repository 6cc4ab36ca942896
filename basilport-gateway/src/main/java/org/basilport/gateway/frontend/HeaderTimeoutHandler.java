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
  private boolean headStarted;

  HeaderTimeoutHandler(Duration timeout) {
    this.timeout = timeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    headStarted = true;
    if (timer == null) {
      timer =
          context
              .executor()
              .schedule(() -> onTimer(context), timeout.toNanos(), TimeUnit.NANOSECONDS);
    }
    context.fireChannelRead(message);
  }

  /** Called when a head is complete. */
  void onHead() {
    headStarted = false;
  }

  /** Whether bytes of a request were received whose head is not complete. */
  boolean headStarted() {
    return headStarted;
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
