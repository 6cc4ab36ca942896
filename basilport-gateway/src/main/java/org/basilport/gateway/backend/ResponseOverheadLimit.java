package org.basilport.gateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Limits the bytes that a server sends beside the content of its response.
 *
 * <p>The decoder limits single parts, such as one line or one head. A faulty server may repeat
 * parts that bring no content: blank lines, interim responses, or tiny chunks with long extensions.
 * Confined to the event loop thread.
 */
final class ResponseOverheadLimit extends ChannelInboundHandlerAdapter {
  /** Bytes beside the content that each response may have. */
  private static final long MAX_OVERHEAD_BYTES = 262_144;

  /** Bytes beside the content for each byte of content; a chunk of one byte needs five. */
  private static final long OVERHEAD_RATIO = 16;

  private final BackendConnection connection;
  private long receivedBytes;
  private long contentBytes;

  ResponseOverheadLimit(BackendConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    receivedBytes += ((ByteBuf) message).readableBytes();
    if (!connection.awaitsAnswer()) {
      ReferenceCountUtil.release(message);
      connection.fail("bytes without a request");
      return;
    }
    context.fireChannelRead(message);
    if (receivedBytes - contentBytes > MAX_OVERHEAD_BYTES + OVERHEAD_RATIO * contentBytes) {
      connection.fail("more than " + MAX_OVERHEAD_BYTES + " bytes beside the content");
    }
  }

  /** Called for each part of the content of the response. */
  void onContent(int bytes) {
    contentBytes += bytes;
  }

  /** Bytes received since the last request was sent. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Called before each request. */
  void reset() {
    receivedBytes = 0;
    contentBytes = 0;
  }
}
