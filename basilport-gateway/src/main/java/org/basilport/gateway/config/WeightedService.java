package org.basilport.gateway.config;

/**
 * Service that receives a fraction of the requests of a route.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route; positive
 */
public record WeightedService(String service, int weight) {}
