package org.basilport.gateway.config;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the selection of routes and services. */
class ForwardingConfigurationTest {

  private static ForwardingRoute route(String host, String prefix, WeightedService... services) {
    return new ForwardingRoute(
        prefix,
        host,
        prefix,
        Repeatability.IDEMPOTENT,
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        Duration.ZERO,
        2,
        0,
        false,
        List.of(services));
  }

  private static ForwardingConfiguration configuration(ForwardingRoute... routes) {
    return new ForwardingConfiguration(
        1, FrontendLimits.INITIAL, List.of(routes), Map.of(), true, Map.of());
  }

  /** Guards against selecting a shorter prefix or the route of another host. */
  @Test
  void selectsTheLongestPrefixOfTheHost() {
    ForwardingConfiguration configuration =
        configuration(route("h", "/a/"), route("h", "/a/b/"), route("other", "/a/b/c/"));

    assertThat(configuration.route("h", "/a/b/c/d").orElseThrow().pathPrefix()).isEqualTo("/a/b/");
    assertThat(configuration.route("h", "/a/bc").orElseThrow().pathPrefix()).isEqualTo("/a/");
    assertThat(configuration.route("h", "/a")).isEmpty();
    assertThat(configuration.route("unknown", "/a/b/")).isEmpty();
  }

  /** Guards against a distribution that deviates from the weights. */
  @Test
  void splitsByWeight() {
    ForwardingRoute split =
        route("h", "/", new WeightedService("x", 90), new WeightedService("y", 10));
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 10_000; i++) {
      counts.merge(split.serviceFor("request-" + i), 1, Integer::sum);
    }

    assertThat(counts.get("y")).isAtLeast(700);
    assertThat(counts.get("y")).isAtMost(1_300);
    assertThat(split.serviceFor("request-1")).isEqualTo(split.serviceFor("request-1"));
  }
}
