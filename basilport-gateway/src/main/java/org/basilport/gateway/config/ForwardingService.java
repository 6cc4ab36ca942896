package org.basilport.gateway.config;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name name of the service
 * @param maxConnections connections that one of its backend servers accepts from all instances
 * @param engine capacity of its model engines; empty for a plain service
 */
public record ForwardingService(String name, int maxConnections, Optional<EngineCapacity> engine) {}
