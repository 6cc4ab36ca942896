package org.basilport.gateway.config;

import java.time.Duration;
import java.util.List;

/**
 * A route from a host and path prefix to services.
 *
 * @param name name for logs
 * @param host host of the callers' requests, in lower case
 * @param pathPrefix prefix of the path, begins and ends with a slash
 * @param repeatability what may be repeated
 * @param timeout longest time that a caller is kept waiting for its whole answer
 * @param targetLatency time within which an answer, or the first event of a stream, is on time
 * @param maxAttempts largest number of backend servers that may run one request
 * @param priority rank, 0 is the highest
 * @param anonymous whether requests need no key
 * @param services services that share the requests, at least one
 */
public record ForwardingRoute(
    String name,
    String host,
    String pathPrefix,
    Repeatability repeatability,
    Duration timeout,
    Duration targetLatency,
    int maxAttempts,
    int priority,
    boolean anonymous,
    List<WeightedService> services) {

  /** Chooses the service for a request; the same request id always gets the same service. */
  public String serviceFor(String requestId) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    int sum = services.stream().mapToInt(WeightedService::weight).sum();
    // The multiplier spreads ids whose hash codes differ only in the low bits.
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
