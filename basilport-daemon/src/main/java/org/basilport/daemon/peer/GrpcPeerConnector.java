package org.basilport.daemon.peer;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.cache.RemovalNotification;
import com.google.common.net.HostAndPort;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.ChannelOption;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.MultiThreadIoEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.nio.NioIoHandler;
import io.grpc.netty.shaded.io.netty.channel.socket.nio.NioSocketChannel;
import io.grpc.netty.shaded.io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerConnector;

/** Connects to other instances over one shared channel per address, closed when unused. */
public final class GrpcPeerConnector implements PeerConnector, AutoCloseable {
  private static final Duration IDLE_CHANNEL_LIFETIME = Duration.ofMinutes(10);
  private static final long KEEP_ALIVE_SECONDS = 10;
  private static final long KEEP_ALIVE_TIMEOUT_SECONDS = 3;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final ClusterKeyInterceptor clusterKey;
  private final EventLoopGroup eventLoop =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("basilport-peer", true), NioIoHandler.newFactory());
  private final Cache<String, ManagedChannel> channels =
      CacheBuilder.newBuilder()
          .expireAfterAccess(IDLE_CHANNEL_LIFETIME)
          .removalListener(GrpcPeerConnector::shutDown)
          .build();

  /**
   * Creates a connector.
   *
   * @param clusterKey secret that each call carries
   */
  public GrpcPeerConnector(String clusterKey) {
    this.clusterKey = new ClusterKeyInterceptor(clusterKey);
  }

  @Override
  public PeerClient connect(String peerAddress) {
    try {
      ManagedChannel channel = channels.get(peerAddress, () -> open(peerAddress));
      // Without the reset, gRPC waits up to two minutes before it reconnects to a restarted peer.
      if (channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
        channel.resetConnectBackoff();
      }
      return new GrpcPeerClient(peerAddress, channel);
    } catch (ExecutionException e) {
      throw new IllegalArgumentException("peer address " + peerAddress + " is malformed", e);
    }
  }

  @Override
  public void close() {
    channels.invalidateAll();
    eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ManagedChannel open(String peerAddress) {
    HostAndPort parsed = HostAndPort.fromString(peerAddress);
    return NettyChannelBuilder.forAddress(new InetSocketAddress(parsed.getHost(), parsed.getPort()))
        .eventLoopGroup(eventLoop)
        .channelType(NioSocketChannel.class)
        .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .usePlaintext()
        .intercept(clusterKey)
        .maxInboundMessageSize(GrpcPeerServer.MAX_MESSAGE_BYTES)
        .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
        .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .directExecutor()
        .build();
  }

  private static void shutDown(RemovalNotification<String, ManagedChannel> removed) {
    removed.getValue().shutdown();
  }
}
