package org.basilport.gateway.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.misc.Service;

/** HTTP server that accepts the connections of callers. */
public final class FrontendServer implements Service {
  /** Length of the accept queue; all callers reconnect at the same time after a restart. */
  private static final int BACKLOG = 1_024;

  private final InetSocketAddress address;
  private final EventLoop eventLoop;
  private final RequestHandler requestHandler;
  private final Supplier<FrontendLimits> limits;
  private final Set<CallerConnection> connections = new HashSet<>();
  private Channel listener;

  /** Creates a server that listens after its start. */
  public FrontendServer(
      InetSocketAddress address,
      EventLoop eventLoop,
      RequestHandler requestHandler,
      Supplier<FrontendLimits> limits) {
    this.address = address;
    this.eventLoop = eventLoop;
    this.requestHandler = requestHandler;
    this.limits = limits;
  }

  @Override
  public CompletableFuture<Void> start() {
    CompletableFuture<Void> started = new CompletableFuture<>();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                });
    bootstrap
        .bind(address)
        .addListener(
            (io.netty.channel.ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                listener = bound.channel();
                started.complete(null);
              } else {
                started.completeExceptionally(bound.cause());
              }
            });
    return started;
  }

  private void accept(Channel channel) {
    FrontendLimits current = limits.get();
    HeaderTimeoutHandler heads = new HeaderTimeoutHandler(current.headerTimeout());
    CallerConnection connection = new CallerConnection(requestHandler, current, heads);
    connections.add(connection);
    channel.closeFuture().addListener(closed -> connections.remove(connection));
    channel
        .pipeline()
        .addLast(
            heads,
            new StrictRequestDecoder(current.maxHeaderBytes()),
            new HttpResponseEncoder(),
            connection);
  }

  /**
   * Accepts no further connections and closes those that carry no request; to be called on the
   * event loop thread, which has read all bytes that were there before.
   */
  public void stopAccepting() {
    if (listener != null) {
      listener.close();
    }
    Set.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /**
   * Whether a connection has received a part of a request or is sending the rest of a response; to
   * be called on the event loop thread.
   */
  public boolean transferring() {
    return connections.stream().anyMatch(c -> c.receiving() || c.writing());
  }

  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          if (listener != null) {
            listener.close();
          }
          stopped.complete(null);
        });
    return stopped;
  }
}
