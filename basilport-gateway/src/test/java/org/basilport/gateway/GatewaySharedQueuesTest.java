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

/** Which deployments order their queues by usage. */
class GatewaySharedQueuesTest {

  private static MetricRegistry metrics(PlacementRules rules) throws Exception {
    MetricRegistry metrics = new MetricRegistry();
    GatewaySettings settings =
        new GatewaySettings(
            "gateway-1",
            "a",
            false,
            LoopbackPorts.freeAddress(),
            LoopbackPorts.freeAddress(),
            new RetryLimits(0.2, 50, TimeUnit.SECONDS.toNanos(10)),
            Duration.ofSeconds(3),
            new ForwardingLimits(
                Duration.ofSeconds(4), Duration.ofMillis(800), Duration.ofSeconds(2)),
            rules);
    new Gateway(settings, new TestCodec(), EventSink.none(), metrics)
        .stop()
        .get(10, TimeUnit.SECONDS);
    return metrics;
  }

  /** Guards against queues by usage in deployments whose settings do not demand them. */
  @Test
  void dependOnThePlacementRules() throws Exception {
    PlacementRules cold =
        new PlacementRules(
            Optional.of(new ColdStartLimits(1.5, 5)), Optional.empty(), "", Map.of());
    PlacementRules evacuation =
        new PlacementRules(Optional.empty(), Optional.of(Duration.ofSeconds(5)), "", Map.of());
    assertThat(metrics(cold).getMetrics()).containsKey("queue.contended");
    assertThat(metrics(evacuation).getMetrics()).containsKey("queue.contended");
    assertThat(metrics(PlacementRules.NONE).getMetrics()).doesNotContainKey("queue.contended");
  }
}
