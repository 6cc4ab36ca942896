package org.basilport.gateway.config;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route, above 0
 */
public record WeightedService(String service, int weight) {}
