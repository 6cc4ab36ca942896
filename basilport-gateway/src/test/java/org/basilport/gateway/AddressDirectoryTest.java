package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.peer.InstanceEntry;
import org.basilport.misc.LoopbackPorts;
import org.basilport.policy.dispatch.StoreRead;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ProofReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Addresses that a gateway returns while another instance reports over the network. */
class AddressDirectoryTest extends GatewayFixture {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final int UNANSWERED_QUESTIONS = 3;
  private static final int POLL_MILLIS = 50;
  private static final String OTHER = "gateway-2";
  private static final String OTHER_ADDRESS = "192.0.2.1:80";

  private DatagramSocket socket;
  private long sequence;

  @BeforeEach
  void openSocket() throws Exception {
    InetSocketAddress address = LoopbackPorts.freeAddress();
    socket = new DatagramSocket(address);
    socket.setSoTimeout(POLL_MILLIS);
    configure(1, "k1");
    gateway.updateInstances(List.of(new InstanceEntry(OTHER, address)));
  }

  @AfterEach
  void closeSocket() {
    socket.close();
  }

  private void send(PeerDatagram message) throws IOException {
    byte[] bytes = message.toByteArray();
    socket.send(new DatagramPacket(bytes, bytes.length, peerAddress));
  }

  private static PeerDatagram report(long number) {
    return PeerDatagram.newBuilder()
        .setSenderId(OTHER)
        .setLoad(
            LoadReport.newBuilder()
                .setInstanceId(OTHER)
                .setIncarnation(1)
                .setSequence(number)
                .setReady(true)
                .setFrontendAddress(OTHER_ADDRESS))
        .build();
  }

  /** Reports again, and returns the number of a question that the gateway asks soon. */
  private OptionalLong question() throws IOException {
    send(report(++sequence));
    try {
      while (true) {
        DatagramPacket packet = new DatagramPacket(new byte[65_507], 65_507);
        socket.receive(packet);
        PeerDatagram message =
            PeerDatagram.parseFrom(Arrays.copyOf(packet.getData(), packet.getLength()));
        if (message.hasProofRequest()) {
          return OptionalLong.of(message.getProofRequest().getNonce());
        }
      }
    } catch (SocketTimeoutException e) {
      return OptionalLong.empty();
    }
  }

  private List<String> resolve() {
    return gateway.directory().resolve("h", "", "", System.nanoTime());
  }

  private void configure(Gateway other) {
    other.applyConfiguration(
        new ForwardingConfiguration(
            1, FrontendLimits.INITIAL, List.of(), Map.of(), false, Map.of()),
        "test");
    other.updateInstances(List.of(new InstanceEntry("gateway-1", peerAddress)));
  }

  /** Guards against taking a report, which may be old, for a sign that its sender runs. */
  @Test
  void returnsAnInstanceOnceItHasReplied() throws Exception {
    long deadline = System.nanoTime() + TIMEOUT_NANOS;
    int questions = 0;
    while (questions < UNANSWERED_QUESTIONS && System.nanoTime() < deadline) {
      questions += question().isPresent() ? 1 : 0;
    }
    assertThat(questions).isEqualTo(UNANSWERED_QUESTIONS);
    assertThat(resolve()).doesNotContain(OTHER_ADDRESS);

    while (!resolve().contains(OTHER_ADDRESS) && System.nanoTime() < deadline) {
      OptionalLong question = question();
      if (question.isPresent()) {
        send(
            PeerDatagram.newBuilder()
                .setSenderId(OTHER)
                .setProofReply(ProofReply.newBuilder().setNonce(question.getAsLong()))
                .build());
      }
    }
    assertThat(resolve()).contains(OTHER_ADDRESS);
  }

  /** Guards against hiding an instance that runs, and against returning it when it is gone. */
  @Test
  void followsTheLifeOfAnInstance() throws Exception {
    InetSocketAddress otherPeer = (InetSocketAddress) socket.getLocalSocketAddress();
    socket.close();
    InetSocketAddress otherFrontend = LoopbackPorts.freeAddress();
    Gateway other = startGateway(OTHER, otherFrontend, otherPeer, new MetricRegistry());
    String address = otherFrontend.getHostString() + ":" + otherFrontend.getPort();
    configure(other);
    try {
      await(address, true, other);
    } finally {
      other.stop().get(5, TimeUnit.SECONDS);
    }
    await(address, false, other);
  }

  /** Waits until the address is returned or not, while the configuration stays proven. */
  private void await(String address, boolean returned, Gateway other) throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT_NANOS;
    while (resolve().contains(address) != returned && System.nanoTime() < deadline) {
      StoreRead read = new StoreRead(0, System.nanoTime(), System.currentTimeMillis());
      gateway.recordConfigurationRead(read);
      if (returned) {
        other.recordConfigurationRead(read);
      }
      Thread.sleep(POLL_MILLIS);
    }
    assertThat(resolve().contains(address)).isEqualTo(returned);
  }
}
