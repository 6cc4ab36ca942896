package org.basilport.gateway.config;

import java.util.Optional;

/**
 * Service to which routes forward requests.
 *
 * @param name name of the service
 * @param maxConnections number of connections that each of its backend servers accepts from all
 *     instances together
 * @param engine capacity of its model engines; empty for a service without engines
 */
public record ForwardingService(String name, int maxConnections, Optional<EngineCapacity> engine) {}
