package org.basilport.gateway.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.policy.dispatch.AllowedRegions;

/** The regions of requests, servers and hosts. Safe to use from any thread. */
public final class HomeRegions {
  private final Map<String, String> regionsOfDataCentres;
  private final Supplier<Optional<ForwardingConfiguration>> configuration;
  private final Counter rejected;

  /**
   * Creates the regions of a deployment.
   *
   * @param regionsOfDataCentres region of each data centre
   * @param configuration the applied configuration
   */
  public HomeRegions(
      Map<String, String> regionsOfDataCentres,
      Supplier<Optional<ForwardingConfiguration>> configuration,
      MetricRegistry metrics) {
    this.regionsOfDataCentres = Map.copyOf(regionsOfDataCentres);
    this.configuration = configuration;
    this.rejected = metrics.counter("regions.rejected");
  }

  /** The regions in which a request may run. */
  RequestRegions of(CallerRequest request, ForwardingRoute route, Optional<KeyHolder> holder) {
    return new ConfiguredRegions(this, request, route, holder);
  }

  /** The applied configuration. */
  Optional<ForwardingConfiguration> configuration() {
    return configuration.get();
  }

  /** Region of a data centre; empty if it is not known. */
  public String regionOf(String dataCentre) {
    return regionsOfDataCentres.getOrDefault(dataCentre, "");
  }

  /** Region of a server; empty if it is not known. */
  String regionOf(BackendServer server) {
    return regionOf(server.entry().dataCentre());
  }

  /** Counts a request that was rejected because no allowed region has a server. */
  void recordRejection() {
    rejected.inc();
  }

  /**
   * The home regions of a host of which all routes have home regions: those that all routes share,
   * so that no request of the host leaves its regions, or else those of any route. All regions for
   * other hosts.
   */
  public AllowedRegions ofHost(String host) {
    Collection<ForwardingRoute> routes =
        configuration().map(current -> current.routes(host)).orElse(List.of());
    if (routes.isEmpty() || routes.stream().anyMatch(route -> route.allowedRegions().isEmpty())) {
      return AllowedRegions.ALL;
    }
    AllowedRegions shared =
        routes.stream()
            .map(route -> AllowedRegions.of(route.allowedRegions()))
            .reduce(AllowedRegions.ALL, AllowedRegions::and);
    return shared.regions().filter(Collection::isEmpty).isEmpty()
        ? shared
        : AllowedRegions.of(
            routes.stream().flatMap(route -> route.allowedRegions().stream()).toList());
  }
}
