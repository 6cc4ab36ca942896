package org.basilport.config;

/**
 * A model, adapter or version that a model service must have loaded.
 *
 * @param name name of the placement
 * @param service model service whose engines load it
 * @param model model or adapter, as {@code name} or {@code name@version}
 * @param minimumReplicas smallest number of engines that have it loaded
 * @param requestsPerReplica arrivals per second that one replica serves
 */
public record ModelPlacement(
    String name, String service, String model, int minimumReplicas, double requestsPerReplica) {}
