package org.basilport.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** Server that answers each request with scripted bytes, on real sockets. */
public final class ScriptedServer implements AutoCloseable {
  private static final int MAX_REQUEST_BYTES = 65_536;

  /** Pause between two writes, so that the client reads them one by one. */
  private static final long WRITE_PAUSE_MICROS = 1_000;

  /** What follows the last write. */
  public enum End {
    KEEP_OPEN,
    CLOSE,
    RESET
  }

  /**
   * The bytes after a request.
   *
   * @param writes text of each write, one character a byte
   * @param end what follows the last write
   */
  public record Script(List<String> writes, End end) {}

  private final EventLoopGroup group = new NioEventLoopGroup(2);
  private final Function<String, Script> scripts;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger closedConnections = new AtomicInteger();
  private final Channel listening;

  /** Starts a server; the function returns the script for the path and query of a request. */
  public ScriptedServer(Function<String, Script> scripts) {
    this.scripts = scripts;
    this.listening =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1_024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    connections.incrementAndGet();
                    channel.closeFuture().addListener(end -> closedConnections.incrementAndGet());
                    channel
                        .pipeline()
                        .addLast(
                            new HttpRequestDecoder(),
                            new HttpObjectAggregator(MAX_REQUEST_BYTES),
                            new RequestHandler());
                  }
                })
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
  }

  /** IP address and port. */
  public String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listening.localAddress()).getPort();
  }

  /** Number of connections that were opened. */
  public int connections() {
    return connections.get();
  }

  /** Number of connections that were closed. */
  public int closedConnections() {
    return closedConnections.get();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  private static void write(ChannelHandlerContext context, Script script, int index) {
    if (index < script.writes().size()) {
      context.writeAndFlush(
          Unpooled.copiedBuffer(script.writes().get(index), StandardCharsets.ISO_8859_1));
      context
          .executor()
          .schedule(
              () -> write(context, script, index + 1), WRITE_PAUSE_MICROS, TimeUnit.MICROSECONDS);
    } else if (script.end() != End.KEEP_OPEN) {
      if (script.end() == End.RESET) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
      }
      context.close();
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      write(context, scripts.apply(request.uri()), 0);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // The client resets connections whose answers it refuses.
      context.close();
    }
  }
}
