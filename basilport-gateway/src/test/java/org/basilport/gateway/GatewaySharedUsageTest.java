package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.gateway.config.ColdStartLimits;
import org.basilport.gateway.config.PlacementRules;
import org.basilport.gateway.forward.ForwardingLimits;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.gateway.peer.InstanceEntry;
import org.basilport.misc.LoopbackPorts;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.WorkspaceUsage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Usage of workspaces that an instance reports to another one, which is a socket of the test. */
class GatewaySharedUsageTest extends GatewayFixture {
  private static final int MAX_DATAGRAM_BYTES = 2_048;
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int PROMPT_TOKENS = 100;
  private static final int EVENTS = 30;

  /** Usage of the generation; a token of its output counts 10 times a token of its prompt. */
  private static final long USED_TOKENS = PROMPT_TOKENS + 10L * ENGINE.tokensPerEvent() * EVENTS;

  private DatagramSocket peer;

  @Override
  @BeforeEach
  void start() throws Exception {
    frontend = LoopbackPorts.freeAddress();
    peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    peer.setSoTimeout(TIMEOUT_MILLIS);
    GatewaySettings settings =
        new GatewaySettings(
            "gateway-1",
            "a",
            false,
            frontend,
            LoopbackPorts.freeAddress(),
            new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
            Duration.ofSeconds(3),
            new ForwardingLimits(
                Duration.ofSeconds(4), Duration.ofMillis(800), Duration.ofSeconds(2)),
            new PlacementRules(
                Optional.of(new ColdStartLimits(1.5, 5)), Optional.empty(), "", Map.of()));
    gateway = new Gateway(settings, new TestCodec(), EventSink.none(), new MetricRegistry());
    gateway.start().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    gateway.updateInstances(
        List.of(new InstanceEntry("gateway-2", (InetSocketAddress) peer.getLocalSocketAddress())));
  }

  @AfterEach
  void closePeer() {
    peer.close();
  }

  /** Reported usage of all workspaces, of the next datagram; 0 if it reports none. */
  private long nextReportedTokens() throws Exception {
    DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
    peer.receive(packet);
    PeerDatagram message =
        PeerDatagram.parseFrom(Arrays.copyOf(packet.getData(), packet.getLength()));
    return message.getLoad().getWorkspaceUsageList().stream()
        .mapToLong(WorkspaceUsage::getTokens)
        .sum();
  }

  /**
   * Guards against charging one token per event of an engine that puts several tokens into one, so
   * that its callers gain capacity.
   */
  @Test
  void countsTheTokensOfEachEvent() throws Exception {
    configure(1, "k1");
    serve(
        "model",
        (request, out, socket) -> {
          ScriptedServer.startStream(out, request);
          ScriptedServer.writeEvents(out, 1, EVENTS);
          ScriptedServer.endStream(out);
        });
    assertThat(call("POST", "/stream/x", "key: k1\r\ntokens: " + PROMPT_TOKENS + "\r\n"))
        .endsWith("0\r\n\r\n");

    // What was charged at the placement, 100 + 10 x 50 tokens, is corrected at the end.
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    long reported = nextReportedTokens();
    while (reported < USED_TOKENS / 2 && System.nanoTime() - end < 0) {
      reported = nextReportedTokens();
    }
    assertThat(reported).isAtLeast(USED_TOKENS / 2);
    assertThat(reported).isAtMost(USED_TOKENS);
  }
}
