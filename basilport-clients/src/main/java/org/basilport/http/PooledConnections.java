package org.basilport.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.AbstractChannelPoolMap;
import io.netty.channel.pool.ChannelPool;
import io.netty.channel.pool.FixedChannelPool;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Keeps connections for the next request to the same server on the same event loop. */
final class PooledConnections implements ConnectionSource {
  /** Open connections to a server on one event loop, above which requests wait. */
  private static final int MAX_CONNECTIONS = 16;

  /** Longest wait for all connections, whose event loops may end meanwhile. */
  private static final long CLOSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final AttributeKey<ChannelPool> POOL =
      AttributeKey.valueOf(PooledConnections.class, "pool");

  private final AbstractChannelPoolMap<Key, FixedChannelPool> pools;

  PooledConnections(Bootstrap bootstrap, Duration idleTimeout) {
    pools =
        new AbstractChannelPoolMap<>() {
          @Override
          protected FixedChannelPool newPool(Key key) {
            return new FixedChannelPool(
                bootstrap.clone(key.eventLoop).remoteAddress(key.peer),
                new ConnectionHandlers(idleTimeout),
                MAX_CONNECTIONS);
          }
        };
  }

  @Override
  public Future<Channel> acquire(EventLoop eventLoop, InetSocketAddress peer) {
    FixedChannelPool pool = pools.get(new Key(eventLoop, peer));
    return pool.acquire(
        eventLoop
            .<Channel>newPromise()
            .addListener(
                (Future<Channel> acquired) -> {
                  if (acquired.isSuccess()) {
                    acquired.getNow().attr(POOL).set(pool);
                  }
                }));
  }

  @Override
  public boolean reusesConnections() {
    return true;
  }

  @Override
  public void release(Channel channel) {
    channel.attr(POOL).get().release(channel);
  }

  /**
   * Closes the connections. Returns when they are closed: the pools wait for that on Netty's global
   * executor, and would block it for ever if the event loops ended before. An event loop that has
   * ended has closed its connections. Not to be called on an event loop.
   */
  @Override
  public void close() {
    List<Future<Void>> closing = new ArrayList<>();
    for (Map.Entry<Key, FixedChannelPool> entry : pools) {
      if (!entry.getKey().eventLoop().isShuttingDown()) {
        closing.add(entry.getValue().closeAsync());
        pools.remove(entry.getKey());
      }
    }
    long end = System.nanoTime() + CLOSE_TIMEOUT_NANOS;
    closing.forEach(
        pool ->
            pool.awaitUninterruptibly(Math.max(0, end - System.nanoTime()), TimeUnit.NANOSECONDS));
  }

  private record Key(EventLoop eventLoop, InetSocketAddress peer) {}

  private static final class ConnectionHandlers extends AbstractChannelPoolHandler {
    private final Duration idleTimeout;

    private ConnectionHandlers(Duration idleTimeout) {
      this.idleTimeout = idleTimeout;
    }

    @Override
    public void channelCreated(Channel channel) {
      channel.pipeline().addLast(new HttpRequestEncoder());
    }

    @Override
    public void channelReleased(Channel channel) {
      if (channel.isActive()) {
        IdleConnectionHandler.addTo(channel, idleTimeout);
      }
    }

    @Override
    public void channelAcquired(Channel channel) {
      IdleConnectionHandler.removeFrom(channel);
    }
  }
}
