package org.basilport.policy.placement;

/**
 * A model that a service must have.
 *
 * @param model model or adapter, as {@code name} or {@code name@version}
 * @param minimumReplicas smallest number of engines that have it loaded
 * @param requestsPerReplica arrivals per second that one replica serves
 */
public record ModelRequirement(String model, int minimumReplicas, double requestsPerReplica) {

  /** Name without the version, under which demand is counted. */
  String name() {
    return ModelName.parse(model).name();
  }
}
