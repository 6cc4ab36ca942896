package org.basilport.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.peer.PeerClient;
import org.basilport.protocol.ConfigurationMessage;
import org.basilport.protocol.DrainReply;
import org.basilport.protocol.DrainRequest;
import org.basilport.protocol.FetchConfigurationRequest;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.protocol.TimelineMessage;
import org.basilport.protocol.TimelineQuery;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GrpcPeerTest {
  private final GrpcPeerConnector connector = new GrpcPeerConnector("cluster-key");
  private GrpcPeerServer server;
  private String address;

  @BeforeEach
  void startServer() throws InterruptedException {
    server = new GrpcPeerServer("127.0.0.1:0", "cluster-key", new EchoingPeer());
    server.start().join();
    address = "127.0.0.1:" + server.port();
    // The first call in a process loads classes, which can take longer than the deadline of a call.
    exchangeWithRetries(GossipMessage.getDefaultInstance());
  }

  @AfterEach
  void stopServer() {
    connector.close();
    server.stop().join();
  }

  private static UnavailableException failure(CompletableFuture<?> call) {
    CompletionException thrown = assertThrows(CompletionException.class, call::join);
    assertThat(thrown).hasCauseThat().isInstanceOf(UnavailableException.class);
    UnavailableException failure = (UnavailableException) thrown.getCause();
    assertThat(failure.step()).isEqualTo(Step.PEER);
    return failure;
  }

  // Guards against a configuration larger than gRPC's default limit of 4 MB that cannot be fetched.
  @Test
  void carriesGossipAndLargeConfigurations() {
    PeerClient peer = connector.connect(address);
    GossipMessage message = GossipMessage.newBuilder().setSenderId("instance-0").build();
    assertThat(peer.exchange(message).join()).isEqualTo(message);
    FetchConfigurationRequest request = FetchConfigurationRequest.getDefaultInstance();
    assertThat(peer.fetchConfiguration(request).join().getBody().size()).isEqualTo(6_000_000);
  }

  // Guards against a peer that reads or changes state without the cluster key.
  @Test
  void rejectsWrongClusterKeyOnEveryCall() {
    try (GrpcPeerConnector unauthorized = new GrpcPeerConnector("guess")) {
      PeerClient peer = unauthorized.connect(address);
      assertThat(failure(peer.exchange(GossipMessage.getDefaultInstance())).outcome())
          .isEqualTo(Outcome.NOT_RUN);
      assertThat(failure(peer.drain(DrainRequest.getDefaultInstance())).outcome())
          .isEqualTo(Outcome.NOT_RUN);
    }
  }

  // Guards against a stalled peer that blocks its caller forever.
  @Test
  void endsACallAtItsDeadline() {
    long start = System.nanoTime();
    IsolationRequest request = IsolationRequest.getDefaultInstance();
    assertThat(failure(connector.connect(address).acquireIsolation(request)))
        .hasMessageThat()
        .contains("DEADLINE_EXCEEDED");
    assertThat(System.nanoTime() - start).isLessThan(10_000_000_000L);
  }

  // Guards against a restarted peer that stays unreachable for minutes because of gRPC's backoff.
  @Test
  void reachesAPeerAgainSoonAfterItsRestart() throws InterruptedException {
    GossipMessage message = GossipMessage.getDefaultInstance();
    server.stop().join();
    for (int i = 0; i < 5; i++) {
      failure(connector.connect(address).exchange(message));
    }
    server = new GrpcPeerServer(address, "cluster-key", new EchoingPeer());
    server.start().join();
    assertThat(exchangeWithRetries(message)).isEqualTo(message);
  }

  private GossipMessage exchangeWithRetries(GossipMessage message) throws InterruptedException {
    CompletableFuture<GossipMessage> call = connector.connect(address).exchange(message);
    for (int attempt = 0; attempt < 20 && failed(call); attempt++) {
      Thread.sleep(100);
      call = connector.connect(address).exchange(message);
    }
    return call.join();
  }

  private static boolean failed(CompletableFuture<?> call) {
    return call.handle((value, failure) -> failure != null).join();
  }

  private static final class EchoingPeer implements PeerClient {
    @Override
    public CompletableFuture<GossipMessage> exchange(GossipMessage message) {
      return CompletableFuture.completedFuture(message);
    }

    @Override
    public CompletableFuture<ConfigurationMessage> fetchConfiguration(
        FetchConfigurationRequest request) {
      return CompletableFuture.completedFuture(
          ConfigurationMessage.newBuilder()
              .setBody(ByteString.copyFrom(new byte[6_000_000]))
              .build());
    }

    @Override
    public CompletableFuture<TimelineMessage> fetchTimeline(TimelineQuery query) {
      return CompletableFuture.completedFuture(TimelineMessage.getDefaultInstance());
    }

    @Override
    public CompletableFuture<IsolationReply> acquireIsolation(IsolationRequest request) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<IsolationReply> releaseIsolation(IsolationRequest request) {
      return CompletableFuture.completedFuture(IsolationReply.getDefaultInstance());
    }

    @Override
    public CompletableFuture<DrainReply> drain(DrainRequest request) {
      return CompletableFuture.completedFuture(DrainReply.getDefaultInstance());
    }
  }
}
