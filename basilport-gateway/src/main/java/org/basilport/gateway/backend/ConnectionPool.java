package org.basilport.gateway.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.basilport.gateway.message.MessageCodec;

/**
 * Pool of connections to one backend server; the most recently used idle connection is reused
 * first.
 */
public final class ConnectionPool {
  /**
   * Connect timeout; a connection to another data centre is established within a few milliseconds.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 700;

  private final ServerEntry server;
  private final EventLoop eventLoop;
  private final MessageCodec codec;
  private final ServerAnswerListener answerListener;
  private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
  private boolean closing;

  /** Creates an empty pool. */
  ConnectionPool(
      ServerEntry server,
      EventLoop eventLoop,
      MessageCodec codec,
      ServerAnswerListener answerListener) {
    this.server = server;
    this.eventLoop = eventLoop;
    this.codec = codec;
    this.answerListener = answerListener;
  }

  /**
   * Acquires an idle connection, on which no earlier answer can be taken for the one to this
   * request, or opens a new one. Exactly one of the callbacks is called.
   *
   * @param requestId id of the request, which its answer carries
   * @param onConnected receives a connection that carries no request
   * @param onFailed receives the reason if no connection could be opened; nothing was sent
   */
  public void acquire(
      String requestId, Consumer<BackendConnection> onConnected, Consumer<String> onFailed) {
    acquire(connection -> connection.distinguishes(requestId), onConnected, onFailed);
  }

  /**
   * Acquires a connection for a request whose answer carries no id. Such answers cannot be told
   * from each other, so each connection carries at most one of these requests.
   */
  public void acquireForUnidentifiedAnswer(
      Consumer<BackendConnection> onConnected, Consumer<String> onFailed) {
    acquire(connection -> !connection.hadUnidentifiedAnswer(), onConnected, onFailed);
  }

  private void acquire(
      Predicate<BackendConnection> suitable,
      Consumer<BackendConnection> onConnected,
      Consumer<String> onFailed) {
    closeExpired();
    Optional<BackendConnection> reusable = idle.stream().filter(suitable).findFirst();
    if (reusable.isPresent()) {
      idle.remove(reusable.get());
      onConnected.accept(reusable.get());
    } else {
      connect(onConnected, onFailed);
    }
  }

  /** Tests whether the server accepts connections; adds the opened connection to the pool. */
  public void probe(Consumer<Boolean> onResult) {
    connect(
        opened -> {
          release(opened);
          onResult.accept(true);
        },
        problem -> onResult.accept(false));
  }

  private void connect(Consumer<BackendConnection> onConnected, Consumer<String> onFailed) {
    BackendConnection connection = new BackendConnection(codec, this::release, answerListener);
    new Bootstrap()
        .group(eventLoop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection.handlers());
              }
            })
        .connect(server.host(), server.port())
        .addListener(
            result -> {
              if (result.isSuccess()) {
                connection.markIdle();
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

  /** Closes the idle connections whose idle timeout has expired. */
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

  /** Closes idle connections immediately and busy connections after their responses. */
  public void shutDown() {
    closing = true;
    idle.forEach(BackendConnection::close);
    idle.clear();
  }
}
