package org.basilport.delivery;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class TrafficMetricsTest {
  private final MetricRegistry registry = new MetricRegistry();
  private final TrafficMetrics metrics = new TrafficMetrics(registry);

  /** Guards against a number of series that grows with the number of workspaces. */
  @Test
  void theNumberOfSeriesIsBounded() {
    for (int i = 0; i < 200; i++) {
      metrics.count("generation.lost", "workspace-" + i);
    }
    assertThat(registry.getCounters()).hasSize(51);
    assertThat(registry.counter("generation.lost.other").getCount()).isEqualTo(150);
  }

  /** Guards against a stall time that includes ordinary gaps. */
  @Test
  void stallTimeIsTheExcessOverTheThreshold() {
    metrics.recordTokenGap("w", Duration.ofMillis(250));
    metrics.recordTokenGap("w", Duration.ofMillis(400));
    assertThat(registry.counter("generation.stallMillis.w").getCount()).isEqualTo(150);
  }
}
