package org.basilport.bench.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.concurrent.TimeUnit;

/** Non-blocking client that opens each stream on a separate connection. */
final class StreamClient implements AutoCloseable {
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int CONNECT_TIMEOUT_MILLIS = 5_000;

  private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(EVENT_LOOP_THREADS);

  /**
   * Opens a stream and records it in the statistics.
   *
   * @param number number of the request
   * @param tokens number of tokens to request
   * @param plannedNanos time from which latency is measured, in nanoseconds
   */
  void open(
      StreamTarget target,
      long number,
      int tokens,
      long plannedNanos,
      StreamStatistics statistics) {
    StreamReader reader = new StreamReader(statistics, plannedNanos, tokens);
    statistics.recordStarted();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoopGroup)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(), reader);
                  }
                });
    ChannelFuture connected = bootstrap.connect(target.address(number));
    connected.addListener(
        future -> {
          if (future.isSuccess()) {
            connected.channel().writeAndFlush(target.request(number, tokens));
          } else {
            reader.fail();
          }
        });
  }

  @Override
  public void close() {
    eventLoopGroup.shutdownGracefully(0, 5, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
