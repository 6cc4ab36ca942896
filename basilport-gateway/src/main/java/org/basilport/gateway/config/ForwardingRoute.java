package org.basilport.gateway.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Route from a host and a path prefix to services.
 *
 * @param name name in events and metrics
 * @param host host of the request, in lower case
 * @param pathPrefix path prefix; begins and ends with a slash
 * @param repeatability whether requests may be repeated
 * @param timeout time limit for the complete response
 * @param targetLatency target time to the complete response, or to the first event of a stream
 * @param targetEventGap target gap between two events of a stream; zero if there is none
 * @param maxAttempts maximum number of backend servers that may execute one request
 * @param priority priority; 0 is the highest
 * @param anonymous whether requests require no access key
 * @param services services among which the requests are distributed, at least one
 * @param allowedRegions regions whose servers may run the requests; empty if all may
 */
public record ForwardingRoute(
    String name,
    String host,
    String pathPrefix,
    Repeatability repeatability,
    Duration timeout,
    Duration targetLatency,
    Duration targetEventGap,
    int maxAttempts,
    int priority,
    boolean anonymous,
    List<WeightedService> services,
    List<String> allowedRegions) {

  /** Creates a route whose requests may run in all regions. */
  public ForwardingRoute(
      String name,
      String host,
      String pathPrefix,
      Repeatability repeatability,
      Duration timeout,
      Duration targetLatency,
      Duration targetEventGap,
      int maxAttempts,
      int priority,
      boolean anonymous,
      List<WeightedService> services) {
    this(
        name,
        host,
        pathPrefix,
        repeatability,
        timeout,
        targetLatency,
        targetEventGap,
        maxAttempts,
        priority,
        anonymous,
        services,
        List.of());
  }

  /** Time limit for a request whose caller waits for the given time, if it says so. */
  public Duration timeLimit(Optional<Duration> callerTimeout) {
    return callerTimeout.filter(limit -> limit.compareTo(timeout) < 0).orElse(timeout);
  }

  /** Selects the service for a request; the same request id always selects the same service. */
  public String serviceFor(String requestId) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    int sum = services.stream().mapToInt(WeightedService::weight).sum();
    // The multiplier distributes ids whose hash codes differ only in the low bits.
    int point = Math.floorMod(requestId.hashCode() * 0x9E3779B1, Math.max(1, sum));
    for (WeightedService candidate : services) {
      point -= candidate.weight();
      if (point < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
