package org.basilport.gateway.config;

import java.util.Optional;

/**
 * Service to which routes forward requests.
 *
 * @param name name of the service
 * @param maxConnections number of connections that each of its backend servers accepts from all
 *     instances together
 * @param engine capacity of its model engines; empty for a service without engines
 * @param coldStart what its servers bear after a start; empty if they bear their usual load
 */
public record ForwardingService(
    String name,
    int maxConnections,
    Optional<EngineCapacity> engine,
    Optional<ColdStart> coldStart) {

  /** Creates a service whose servers bear their usual load from their start on. */
  public ForwardingService(String name, int maxConnections, Optional<EngineCapacity> engine) {
    this(name, maxConnections, engine, Optional.empty());
  }
}
