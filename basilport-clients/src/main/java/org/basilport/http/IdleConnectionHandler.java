package org.basilport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a pooled connection that receives bytes, fails or is not used for some time. Bytes without
 * a request belong to an earlier answer.
 */
final class IdleConnectionHandler extends ChannelInboundHandlerAdapter {

  static void addTo(Channel channel, Duration timeout) {
    channel
        .pipeline()
        .addLast(
            new IdleStateHandler(0, 0, timeout.toMillis(), TimeUnit.MILLISECONDS),
            new IdleConnectionHandler());
  }

  static void removeFrom(Channel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    if (pipeline.get(IdleConnectionHandler.class) != null) {
      pipeline.remove(IdleConnectionHandler.class);
      pipeline.remove(IdleStateHandler.class);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ReferenceCountUtil.release(message);
    context.close();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    context.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // No request is affected; the pool opens another connection for the next one.
    context.close();
  }
}
