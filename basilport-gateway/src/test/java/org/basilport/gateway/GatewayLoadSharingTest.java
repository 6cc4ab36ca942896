package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.gateway.config.ColdStartLimits;
import org.basilport.gateway.config.PlacementRules;
import org.basilport.gateway.forward.ForwardingLimits;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;
import org.basilport.misc.LoopbackPorts;
import org.junit.jupiter.api.Test;

/** Gateways of deployments with and without shared load. */
class GatewayLoadSharingTest extends GatewayFixture {
  private static final String AGES = "load.figure_age_ms";
  private static final String SPEEDS = "load.speed_percent";

  private MetricRegistry startSharing() throws Exception {
    gateway.stop().get(5, TimeUnit.SECONDS);
    frontend = LoopbackPorts.freeAddress();
    MetricRegistry sharingMetrics = new MetricRegistry();
    GatewaySettings settings =
        new GatewaySettings(
            "gateway-2",
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
    gateway = new Gateway(settings, new TestCodec(), EventSink.none(), sharingMetrics);
    gateway.start().get(5, TimeUnit.SECONDS);
    return sharingMetrics;
  }

  private void serveAll() throws Exception {
    configure(1, "k1");
    serve("plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
    serve(
        "model",
        (request, out, socket) ->
            ScriptedServer.write(
                out,
                "HTTP/1.1 200 S\r\nid: "
                    + request.id()
                    + "\r\nseal: s\r\nContent-Length: 17\r\n\r\nid: 1\ndata: one\n\n"));
  }

  /** Guards against estimates that no choice uses and speeds that no response reaches. */
  @Test
  void observesAgesAndSpeedsWhereTheLoadIsShared() throws Exception {
    MetricRegistry sharing = startSharing();
    serveAll();

    assertThat(call("POST", "/read/x", "key: k1\r\n")).startsWith("HTTP/1.1 200");
    assertThat(sharing.histogram(AGES).getCount()).isEqualTo(1);
    assertThat(sharing.histogram(SPEEDS).getCount()).isEqualTo(1);

    assertThat(call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n")).startsWith("HTTP/1.1 200");
    assertThat(sharing.histogram(AGES).getCount()).isEqualTo(2);
    assertThat(sharing.histogram(SPEEDS).getCount()).isEqualTo(2);
  }

  /** Guards against another choice of servers in deployments that do not ask for it. */
  @Test
  void observesNothingWhereTheLoadIsNotShared() throws Exception {
    serveAll();

    assertThat(call("POST", "/read/x", "key: k1\r\n")).startsWith("HTTP/1.1 200");
    assertThat(metrics.getNames()).containsNoneOf(AGES, SPEEDS, "load.random_choices");
  }
}
