package org.basilport.gateway.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.basilport.gateway.message.MessageCodec;

/** Connections to one backend server; the one that was used last is used first. */
public final class ConnectionPool {
  /** A connection to a server in another data centre opens within a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  private final ServerEntry server;
  private final EventLoop eventLoop;
  private final MessageCodec codec;
  private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
  private boolean closing;

  /** Creates an empty pool. */
  public ConnectionPool(ServerEntry server, EventLoop eventLoop, MessageCodec codec) {
    this.server = server;
    this.eventLoop = eventLoop;
    this.codec = codec;
  }

  /**
   * Provides a connection; exactly one of the callbacks is called.
   *
   * @param onConnected gets a connection that carries no request
   * @param onFailed gets the reason when none could be opened; nothing was sent then
   */
  public void acquire(Consumer<BackendConnection> onConnected, Consumer<String> onFailed) {
    long now = System.nanoTime();
    while (!idle.isEmpty()) {
      BackendConnection connection = idle.pop();
      if (connection.usable(now)) {
        onConnected.accept(connection);
        return;
      }
      connection.close();
    }
    connect(onConnected, onFailed);
  }

  /** Opens a connection to find out whether the server can be reached, and keeps it for later. */
  public void probe(Consumer<Boolean> onResult) {
    connect(
        opened -> {
          opened.markIdle();
          release(opened);
          onResult.accept(true);
        },
        problem -> onResult.accept(false));
  }

  private void connect(Consumer<BackendConnection> onConnected, Consumer<String> onFailed) {
    BackendConnection connection = new BackendConnection(codec, this::release);
    new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpRequestEncoder(), new HttpResponseDecoder(), connection);
              }
            })
        .connect(server.host(), server.port())
        .addListener(
            result -> {
              if (result.isSuccess()) {
                onConnected.accept(connection);
              } else {
                onFailed.accept("cannot connect to " + server.address() + ": " + result.cause());
              }
            });
  }

  private void release(BackendConnection connection) {
    if (closing) {
      connection.close();
    } else {
      idle.push(connection);
    }
  }

  /** Closes idle connections that can no longer be used. */
  public void closeExpired() {
    long now = System.nanoTime();
    idle.removeIf(
        connection -> {
          if (connection.usable(now)) {
            return false;
          }
          connection.close();
          return true;
        });
  }

  /** Closes idle connections now and busy ones after their answers. */
  public void shutDown() {
    closing = true;
    idle.forEach(BackendConnection::close);
    idle.clear();
  }
}
