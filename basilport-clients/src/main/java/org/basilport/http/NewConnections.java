package org.basilport.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;

/** Opens a connection for each request. */
final class NewConnections implements ConnectionSource {
  private final Bootstrap bootstrap;

  NewConnections(Bootstrap bootstrap) {
    this.bootstrap =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpRequestEncoder());
                  }
                });
  }

  @Override
  public Future<Channel> acquire(EventLoop eventLoop, InetSocketAddress peer) {
    Promise<Channel> connection = eventLoop.newPromise();
    ChannelFuture connected = bootstrap.clone(eventLoop).connect(peer);
    connected.addListener(
        result -> {
          if (result.isSuccess()) {
            connection.setSuccess(connected.channel());
          } else {
            connection.setFailure(result.cause());
          }
        });
    return connection;
  }

  @Override
  public boolean reusesConnections() {
    return false;
  }

  @Override
  public void release(Channel channel) {
    channel.close();
  }

  @Override
  public void close() {
    // Each connection belongs to a request.
  }
}
