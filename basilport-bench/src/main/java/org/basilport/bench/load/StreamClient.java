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

/** Opens streams, each on a connection of its own, without blocking the caller. */
final class StreamClient implements AutoCloseable {
  private static final int THREADS = 2;
  private static final int CONNECT_MILLIS = 5_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(THREADS);

  /** Sends a request; the reading reports to the statistics. */
  void open(
      StreamTarget target,
      long number,
      int tokens,
      long plannedNanos,
      StreamStatistics statistics) {
    StreamReading reading = new StreamReading(statistics, plannedNanos, tokens);
    statistics.started();
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(), reading);
                  }
                });
    ChannelFuture connected = bootstrap.connect(target.address(number));
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            connected.channel().writeAndFlush(target.request(number, tokens));
          } else {
            reading.fail();
          }
        });
  }

  /** Closes all streams. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 5, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
