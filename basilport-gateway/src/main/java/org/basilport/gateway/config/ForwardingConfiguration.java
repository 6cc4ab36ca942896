package org.basilport.gateway.config;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Immutable version of the configuration, indexed for the look-ups of each request. */
public final class ForwardingConfiguration {
  private final long version;
  private final FrontendLimits limits;
  private final boolean keysRequired;
  private final Map<String, ForwardingService> services;
  private final Map<String, KeyHolder> holdersByKey;
  private final Map<String, Map<String, ForwardingRoute>> routesByHost = new HashMap<>();
  private final Duration longestStreamTimeout;

  /**
   * Creates a configuration.
   *
   * @param keysRequired whether routes that are not anonymous require an access key
   */
  public ForwardingConfiguration(
      long version,
      FrontendLimits limits,
      List<ForwardingRoute> routes,
      Map<String, ForwardingService> services,
      boolean keysRequired,
      Map<String, KeyHolder> holdersByKey) {
    this.version = version;
    this.limits = limits;
    this.keysRequired = keysRequired;
    this.services = Map.copyOf(services);
    this.holdersByKey = Map.copyOf(holdersByKey);
    this.longestStreamTimeout =
        routes.stream()
            .filter(route -> route.repeatability().streamed())
            .map(ForwardingRoute::timeout)
            .max(Comparator.naturalOrder())
            .orElse(Duration.ZERO);
    for (ForwardingRoute route : routes) {
      routesByHost
          .computeIfAbsent(route.host(), host -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
  }

  /** Version of the configuration; a newer configuration has a larger version. */
  public long version() {
    return version;
  }

  /** Limits on the connections and requests of callers. */
  public FrontendLimits limits() {
    return limits;
  }

  /** The longest timeout of all routes whose responses are streams; zero if there are none. */
  public Duration longestStreamTimeout() {
    return longestStreamTimeout;
  }

  /** All services by name. */
  public Map<String, ForwardingService> services() {
    return services;
  }

  /** Whether routes that are not anonymous require an access key. */
  public boolean keysRequired() {
    return keysRequired;
  }

  /** The holder of an access key; empty if the key is unknown. */
  public Optional<KeyHolder> keyHolder(String key) {
    return Optional.ofNullable(holdersByKey.get(key));
  }

  /** All routes of a host; empty if the host has none. */
  public Collection<ForwardingRoute> routes(String host) {
    return routesByHost.getOrDefault(host, Map.of()).values();
  }

  /**
   * The route of the host with the longest prefix of the path; prefixes begin and end with a slash.
   */
  public Optional<ForwardingRoute> route(String host, String path) {
    Map<String, ForwardingRoute> routes = routesByHost.get(host);
    if (routes == null) {
      return Optional.empty();
    }
    int end = path.lastIndexOf('/');
    while (end >= 0) {
      ForwardingRoute route = routes.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
      end = path.lastIndexOf('/', end - 1);
    }
    return Optional.empty();
  }
}
