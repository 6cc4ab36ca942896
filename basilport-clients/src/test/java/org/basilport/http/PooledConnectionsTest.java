package org.basilport.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.basilport.http.ScriptedServer.End;
import org.basilport.http.ScriptedServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

/** Connections that are kept for later requests. */
class PooledConnectionsTest {
  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final ScriptedServer server =
      new ScriptedServer(path -> new Script(List.of(), End.KEEP_OPEN));
  private Channel channel;

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully();
    server.close();
  }

  private PooledConnections withOneConnection(EventLoop eventLoop) throws Exception {
    String[] address = server.address().split(":");
    PooledConnections connections =
        new PooledConnections(
            new Bootstrap().channel(NioSocketChannel.class), Duration.ofSeconds(30));
    channel =
        connections
            .acquire(eventLoop, new InetSocketAddress(address[0], Integer.parseInt(address[1])))
            .sync()
            .getNow();
    eventLoop.submit(() -> connections.release(channel)).sync();
    eventLoop.submit(() -> {}).sync();
    return connections;
  }

  /** Guards against a transport that is not closed because the event loops of others have ended. */
  @Test
  void mayBeClosedAfterTheirEventLoop() throws Exception {
    PooledConnections connections = withOneConnection(eventLoops.next());
    eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).await(10, TimeUnit.SECONDS);

    connections.close();

    assertThat(channel.isOpen()).isFalse();
  }

  /**
   * Guards against a pool that waits on Netty's global executor for connections whose event loop
   * has ended, so that no event loop of the process reports its end any more.
   */
  @RepeatedTest(20)
  void areClosedBeforeTheirEventLoopEnds() throws Exception {
    PooledConnections connections = withOneConnection(eventLoops.next());

    connections.close();

    assertThat(channel.isOpen()).isFalse();
  }
}
