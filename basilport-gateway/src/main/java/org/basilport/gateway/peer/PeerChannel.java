package org.basilport.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.basilport.misc.Service;
import org.basilport.protocol.PeerDatagram;

/**
 * UDP channel between instances. Datagrams need neither connections nor threads, and a lost message
 * is replaced by a later one. Confined to the event loop thread.
 */
public final class PeerChannel extends SimpleChannelInboundHandler<DatagramPacket>
    implements Service {
  private static final Logger LOG = LogManager.getLogger(PeerChannel.class);

  /** Largest datagram; the channel cuts those that its buffer cannot hold. */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  /** Datagrams in one read, which hold a buffer each. */
  private static final int MAX_DATAGRAMS_PER_READ = 4;

  private final InetSocketAddress address;
  private final EventLoop eventLoop;
  private final BiConsumer<PeerDatagram, InetSocketAddress> receiver;
  private Channel channel;

  /** Creates a channel that sends and receives after its start. */
  public PeerChannel(
      InetSocketAddress address,
      EventLoop eventLoop,
      BiConsumer<PeerDatagram, InetSocketAddress> receiver) {
    this.address = address;
    this.eventLoop = eventLoop;
    this.receiver = receiver;
  }

  @Override
  public CompletableFuture<Void> start() {
    CompletableFuture<Void> started = new CompletableFuture<>();
    new Bootstrap()
        .group(eventLoop)
        .channel(NioDatagramChannel.class)
        .option(
            ChannelOption.RCVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
                .maxMessagesPerRead(MAX_DATAGRAMS_PER_READ))
        .handler(this)
        .bind(address)
        .addListener(
            (ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                channel = bound.channel();
                started.complete(null);
              } else {
                started.completeExceptionally(bound.cause());
              }
            });
    return started;
  }

  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          if (channel != null) {
            channel.close();
          }
          stopped.complete(null);
        });
    return stopped;
  }

  /** Sends a message to the given addresses; discards it before the start. */
  void send(PeerDatagram message, Collection<InetSocketAddress> receivers) {
    if (channel == null) {
      return;
    }
    byte[] bytes = message.toByteArray();
    for (InetSocketAddress receiverAddress : receivers) {
      channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiverAddress));
    }
    channel.flush();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
    PeerDatagram message;
    try {
      message = PeerDatagram.parseFrom(packet.content().nioBuffer());
    } catch (InvalidProtocolBufferException e) {
      LOG.debug("discarded an invalid datagram from {}: {}", packet.sender(), e.getMessage());
      return;
    }
    receiver.accept(message, packet.sender());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debug("datagram channel failed", cause);
  }
}
