package org.basilport.daemon.peer;

import com.google.common.net.HostAndPort;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.basilport.error.BasilportException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.misc.Service;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerFailures;
import org.basilport.protocol.ConfigurationMessage;
import org.basilport.protocol.DrainReply;
import org.basilport.protocol.DrainRequest;
import org.basilport.protocol.FetchConfigurationRequest;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.protocol.PeerGrpc;
import org.basilport.protocol.TimelineMessage;
import org.basilport.protocol.TimelineQuery;

/** gRPC server for calls from other instances. */
public final class GrpcPeerServer implements Service {
  static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

  private static final long SHUTDOWN_TIMEOUT_SECONDS = 1;
  private static final long MIN_KEEP_ALIVE_SECONDS = 5;

  private final Server server;
  private final String address;

  /**
   * Creates a server.
   *
   * @param address IP address and port to listen on; port 0 selects a free port
   * @param clusterKey secret that each call must carry
   * @param endpoint handles the calls; must not block
   */
  public GrpcPeerServer(String address, String clusterKey, PeerClient endpoint) {
    HostAndPort parsed = HostAndPort.fromString(address);
    this.address = address;
    this.server =
        NettyServerBuilder.forAddress(new InetSocketAddress(parsed.getHost(), parsed.getPort()))
            .intercept(new ClusterKeyInterceptor(clusterKey))
            .addService(new PeerService(endpoint))
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .permitKeepAliveTime(MIN_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .directExecutor()
            .build();
  }

  @Override
  public CompletableFuture<Void> start() {
    try {
      server.start();
      return CompletableFuture.completedFuture(null);
    } catch (IOException e) {
      return CompletableFuture.failedFuture(
          PeerFailures.failure(Outcome.NOT_RUN, address, "cannot listen at " + address, e));
    }
  }

  /** Port that the server listens on, valid after the start. */
  public int port() {
    return server.getPort();
  }

  @Override
  public CompletableFuture<Void> stop() {
    server.shutdown();
    return CompletableFuture.runAsync(
        () -> {
          try {
            if (!server.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
              server.shutdownNow();
            }
          } catch (InterruptedException e) {
            server.shutdownNow();
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Forwards calls to the endpoint. */
  private static final class PeerService extends PeerGrpc.PeerImplBase {
    private final PeerClient endpoint;

    PeerService(PeerClient endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    public void exchange(GossipMessage request, StreamObserver<GossipMessage> observer) {
      reply(endpoint.exchange(request), observer);
    }

    @Override
    public void fetchConfiguration(
        FetchConfigurationRequest request, StreamObserver<ConfigurationMessage> observer) {
      reply(endpoint.fetchConfiguration(request), observer);
    }

    @Override
    public void fetchTimeline(TimelineQuery request, StreamObserver<TimelineMessage> observer) {
      reply(endpoint.fetchTimeline(request), observer);
    }

    @Override
    public void acquireIsolation(
        IsolationRequest request, StreamObserver<IsolationReply> observer) {
      reply(endpoint.acquireIsolation(request), observer);
    }

    @Override
    public void releaseIsolation(
        IsolationRequest request, StreamObserver<IsolationReply> observer) {
      reply(endpoint.releaseIsolation(request), observer);
    }

    @Override
    public void drain(DrainRequest request, StreamObserver<DrainReply> observer) {
      reply(endpoint.drain(request), observer);
    }

    private static <T> void reply(CompletableFuture<T> result, StreamObserver<T> observer) {
      result.whenComplete(
          (value, failure) -> {
            if (failure == null) {
              observer.onNext(value);
              observer.onCompleted();
            } else {
              BasilportException cause =
                  BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.PEER);
              observer.onError(
                  Status.INTERNAL.withDescription(cause.getMessage()).asRuntimeException());
            }
          });
    }
  }
}
