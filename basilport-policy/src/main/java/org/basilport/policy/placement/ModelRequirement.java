package org.basilport.policy.placement;

/**
 * A model that a service must provide.
 *
 * @param model model or adapter, as {@code name} or {@code name@version}
 * @param minimumReplicas smallest number of engines that have it loaded
 * @param requestsPerReplica arrivals per second that one replica can serve
 */
public record ModelRequirement(String model, int minimumReplicas, double requestsPerReplica) {

  /** Name without the version, under which demand is counted. */
  String name() {
    return ModelName.parse(model).name();
  }
}
