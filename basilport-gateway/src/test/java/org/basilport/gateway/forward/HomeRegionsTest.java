package org.basilport.gateway.forward;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.config.WeightedService;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.policy.dispatch.AllowedRegions;
import org.junit.jupiter.api.Test;

/** Regions of requests and hosts. */
class HomeRegionsTest {
  private Optional<ForwardingConfiguration> configuration = Optional.empty();
  private final HomeRegions homeRegions =
      new HomeRegions(Map.of(), () -> configuration, new MetricRegistry());

  private static ForwardingRoute route(String prefix, List<String> regions) {
    return new ForwardingRoute(
        prefix,
        "h",
        prefix,
        Repeatability.IDEMPOTENT,
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        1,
        0,
        false,
        List.of(new WeightedService("s", 1)),
        regions);
  }

  private static ForwardingConfiguration configuration(
      List<String> workspaceRegions, List<List<String>> regionsOfRoutes) {
    List<ForwardingRoute> routes = new ArrayList<>();
    regionsOfRoutes.forEach(regions -> routes.add(route("/" + routes.size() + "/", regions)));
    return new ForwardingConfiguration(
        1,
        FrontendLimits.INITIAL,
        routes,
        Map.of(),
        true,
        Map.of("k", new KeyHolder("w", -1, workspaceRegions)));
  }

  private AllowedRegions ofHost(List<List<String>> regionsOfRoutes) {
    configuration = Optional.of(configuration(List.of(), regionsOfRoutes));
    return homeRegions.ofHost("h");
  }

  /** Guards against a request that waits and is sent by regions that are not in force any more. */
  @Test
  void followTheAppliedConfiguration() {
    CallerRequest request =
        new CallerRequest(
            "r",
            "GET",
            "/0/x",
            "h",
            new DefaultHttpHeaders(),
            new byte[0],
            Optional.empty(),
            Optional.of("k"),
            Optional.empty(),
            List.of(),
            Optional.empty(),
            Optional.empty());
    RequestRegions regions = homeRegions.of(request, route("/0/", List.of("r1")), Optional.empty());

    assertThat(regions.allowed()).isEqualTo(AllowedRegions.of(List.of("r1")));
    configuration = Optional.of(configuration(List.of("r2"), List.of(List.of("r2", "r3"))));
    assertThat(regions.allowed()).isEqualTo(AllowedRegions.of(List.of("r2")));
    configuration = Optional.of(configuration(List.of(), List.of()));
    assertThat(regions.allowed()).isEqualTo(AllowedRegions.of(List.of("r1")));
  }

  /** Guards against sending callers of one route to a region that another one allows. */
  @Test
  void areThoseThatAllRoutesOfAHostShare() {
    assertThat(ofHost(List.of(List.of("r1", "r2"), List.of("r2"))))
        .isEqualTo(AllowedRegions.of(List.of("r2")));
    assertThat(ofHost(List.of(List.of("r1"), List.of("r2"))))
        .isEqualTo(AllowedRegions.of(List.of("r1", "r2")));
  }

  /** Guards against restricting the addresses of a host that has a route without home regions. */
  @Test
  void areAllWhereARouteHasNone() {
    assertThat(ofHost(List.of(List.of("r1"), List.of()))).isEqualTo(AllowedRegions.ALL);
    assertThat(ofHost(List.of())).isEqualTo(AllowedRegions.ALL);
  }
}
