package org.basilport.gateway.backend;

import java.time.Duration;

/**
 * A backend server as the directory lists it.
 *
 * @param id id of this start of the server
 * @param incarnation time of its start, distinguishes two starts under one id
 * @param service service that it belongs to
 * @param host IP address
 * @param port port
 * @param dataCentre its data centre
 * @param slots requests that it processes at once
 * @param leaving whether it takes no new work
 * @param warmUpRemaining how much longer it is slow after its start
 */
public record ServerEntry(
    String id,
    long incarnation,
    String service,
    String host,
    int port,
    String dataCentre,
    int slots,
    boolean leaving,
    Duration warmUpRemaining) {

  /** IP address and port. */
  public String address() {
    return host + ":" + port;
  }
}
