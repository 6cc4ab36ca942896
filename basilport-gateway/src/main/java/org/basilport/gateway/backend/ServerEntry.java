package org.basilport.gateway.backend;

import java.time.Duration;

/**
 * Directory entry of a backend server.
 *
 * @param id id under which the server registered
 * @param incarnation start time; distinguishes restarts under the same id
 * @param service name of the service that the server belongs to
 * @param version version of the server's software
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre of the server
 * @param slots number of requests that the server processes concurrently
 * @param leaving whether the server accepts no new requests
 * @param warmUpRemaining remaining time during which the server is slow after its start
 */
public record ServerEntry(
    String id,
    long incarnation,
    String service,
    String version,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean leaving,
    Duration warmUpRemaining) {

  /** Returns the entry of the later incarnation; the second one if both are of the same. */
  public static ServerEntry latest(ServerEntry known, ServerEntry listed) {
    return known.incarnation > listed.incarnation ? known : listed;
  }

  /** IP address and port, separated by a colon. */
  public String address() {
    return host + ":" + port;
  }
}
