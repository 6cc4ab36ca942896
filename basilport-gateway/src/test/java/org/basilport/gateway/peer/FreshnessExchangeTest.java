package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.lang.reflect.Proxy;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.basilport.event.EventSink;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.forward.ForwardingState;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.misc.LoopbackPorts;
import org.basilport.policy.dispatch.StorePosition;
import org.basilport.policy.dispatch.StoreRead;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ProofReply;
import org.basilport.protocol.ProofRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Exchanges proofs between an instance that follows evacuations and a socket of the test. */
class FreshnessExchangeTest {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int MAX_ATTEMPTS = 4;
  private static final int MAX_DATAGRAM_BYTES = 2_048;

  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final EventLoop eventLoop = eventLoops.next();

  /** Methods of the subscription that were called. */
  private final List<String> reads = new CopyOnWriteArrayList<>();

  private ForwardingState state;
  private PeerChannel channel;
  private FreshnessExchange exchange;
  private InetSocketAddress address;
  private DatagramSocket peer;

  @BeforeEach
  void start() throws Exception {
    address = LoopbackPorts.freeAddress();
    peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    peer.setSoTimeout(TIMEOUT_MILLIS / MAX_ATTEMPTS);
    state =
        new ForwardingState(
            "a",
            true,
            new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
            new ServerTable("i1", eventLoop, new TestCodec(), EventSink.none()),
            EventSink.none(),
            new SplittableRandom(1));
    state.evacuations().activate(new MetricRegistry());
    channel = new PeerChannel(address, eventLoop, this::receive);
    exchange = new FreshnessExchange("i1", channel, state);
    ConfigurationSubscription subscription =
        (ConfigurationSubscription)
            Proxy.newProxyInstance(
                ConfigurationSubscription.class.getClassLoader(),
                new Class<?>[] {ConfigurationSubscription.class},
                (proxy, method, arguments) -> {
                  reads.add(method.getName());
                  return null;
                });
    exchange.setConfigurationSubscription(subscription);
    channel.start().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void receive(PeerDatagram message, InetSocketAddress sender) {
    if (message.hasProofRequest()) {
      exchange.onRequest(message.getProofRequest(), sender);
    } else {
      exchange.onReply(message.getProofReply());
    }
  }

  @AfterEach
  void stop() throws Exception {
    peer.close();
    channel.stop().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    eventLoops.shutdownGracefully();
  }

  private <T> T run(Callable<T> action) throws Exception {
    return eventLoop.submit(action).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void run(Runnable action) throws Exception {
    eventLoop.submit(action).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void proveConfiguration() throws Exception {
    run(
        () -> {
          state.applyConfiguration(
              new ForwardingConfiguration(
                  7, FrontendLimits.INITIAL, List.of(), Map.of(), false, Map.of()),
              "test");
          state.recordConfigurationRead(
              new StoreRead(0, System.nanoTime(), System.currentTimeMillis()));
        });
  }

  private void proveEvacuations(Set<String> names) throws Exception {
    run(() -> applyEvacuations(names));
  }

  private void applyEvacuations(Set<String> names) {
    state
        .evacuations()
        .apply(
            names,
            new StorePosition(3, 9),
            new StoreRead(3, System.nanoTime(), System.currentTimeMillis()),
            System.nanoTime());
  }

  private void send(PeerDatagram.Builder message) throws Exception {
    byte[] bytes = message.setSenderId("i2").build().toByteArray();
    peer.send(new DatagramPacket(bytes, bytes.length, address));
  }

  private PeerDatagram receive() throws Exception {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
    peer.receive(packet);
    return PeerDatagram.parseFrom(Arrays.copyOf(packet.getData(), packet.getLength()));
  }

  /** Requests a proof right after an action, again if the proof ran out before the request. */
  private ProofReply requestProof(Action prove) throws Exception {
    for (int attempt = 1; ; attempt++) {
      prove.run();
      send(PeerDatagram.newBuilder().setProofRequest(ProofRequest.newBuilder().setNonce(5)));
      try {
        return receive().getProofReply();
      } catch (SocketTimeoutException e) {
        if (attempt == MAX_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  private interface Action {
    void run() throws Exception;
  }

  @Nested
  class Replies {
    /** Guards against a watcher that keeps evacuations back while it lacks the other proof. */
    @Test
    void proveEvacuationsAlone() throws Exception {
      ProofReply reply = requestProof(() -> proveEvacuations(Set.of("b", "c")));

      assertThat(reply.getEvacuationsProven()).isTrue();
      assertThat(reply.getEvacuatedDataCentresList()).containsExactly("b", "c");
      assertThat(reply.getEvacuationsIncarnation()).isEqualTo(3);
      assertThat(reply.getEvacuationsRevision()).isEqualTo(9);
      // Instances of the former release take no negative age for a proof.
      assertThat(reply.getAgeMillis()).isLessThan(0L);
    }

    /** Guards against a watcher that claims to know of no evacuation before its first read. */
    @Test
    void proveTheConfigurationAlone() throws Exception {
      ProofReply reply = requestProof(FreshnessExchangeTest.this::proveConfiguration);

      assertThat(reply.getConfigurationVersion()).isEqualTo(7);
      assertThat(reply.getAgeMillis()).isAtLeast(0L);
      assertThat(reply.getEvacuationsProven()).isFalse();
    }

    /** Guards against names that make the datagram too large for the proof of both. */
    @Test
    void omitNamesThatExceedADatagram() throws Exception {
      Set<String> names =
          IntStream.range(0, 20).mapToObj(i -> i + "n".repeat(100)).collect(Collectors.toSet());
      ProofReply reply =
          requestProof(
              () -> {
                proveConfiguration();
                proveEvacuations(names);
              });

      assertThat(reply.getEvacuationsProven()).isFalse();
      assertThat(reply.getAgeMillis()).isAtLeast(0L);
    }
  }

  @Nested
  class Requests {
    private void reply(ProofReply.Builder reply) throws Exception {
      run(() -> exchange.requestProof(List.of((InetSocketAddress) peer.getLocalSocketAddress())));
      long nonce = receive().getProofRequest().getNonce();
      send(PeerDatagram.newBuilder().setProofReply(reply.setNonce(nonce)));
    }

    private void awaitKnown() throws Exception {
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
      while (!run(() -> state.evacuations().known()) && end - System.nanoTime() > 0) {
        Thread.sleep(5);
      }
      assertThat(run(() -> state.evacuations().known())).isTrue();
    }

    /** Guards against an instance that hears of evacuations only from the store. */
    @Test
    void obtainEvacuationsWithoutAProofOfTheConfiguration() throws Exception {
      reply(
          ProofReply.newBuilder()
              .setAgeMillis(-1)
              .setEvacuationsProven(true)
              .addEvacuatedDataCentres("b")
              .setEvacuationsIncarnation(3)
              .setEvacuationsRevision(9)
              .setEvacuationsAgeMillis(100));
      awaitKnown();

      assertThat(run(() -> state.evacuations().stored())).containsExactly("b");
      assertThat(run(() -> state.evacuations().position())).isEqualTo(new StorePosition(3, 9));
      assertThat(run(() -> state.proofAgeMillis())).isEqualTo(Long.MAX_VALUE);
      long age =
          run(() -> state.evacuations().ageMillis(System.nanoTime(), System.currentTimeMillis()));
      assertThat(age).isAtLeast(100L);
    }

    /** Guards against an instance without watchers that never learns of an evacuation. */
    @Test
    void areReplacedByReadsOfTheStoreWithoutProofs() throws Exception {
      run(() -> exchange.requestProof(List.of()));

      assertThat(reads).containsExactly("refresh", "refreshEvacuations");
    }

    /** Guards against paid reads of the store while the watchers give proofs. */
    @Test
    void causeNoReadOfTheStoreWithAProof() throws Exception {
      run(
          () -> {
            applyEvacuations(Set.of());
            exchange.requestProof(List.of());
          });

      assertThat(reads).containsExactly("refresh");
    }
  }
}
