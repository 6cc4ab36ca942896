package org.basilport.config;

/**
 * Model or adapter that engines of a model service must have loaded.
 *
 * @param name name of the placement
 * @param service model service whose engines load it
 * @param model model or adapter, as {@code name} or {@code name@version}
 * @param minimumReplicas minimum number of engines that have it loaded
 * @param requestsPerReplica request rate that one replica can serve, in requests per second
 */
public record ModelPlacement(
    String name, String service, String model, int minimumReplicas, double requestsPerReplica) {}
