package org.basilport.platform;

/**
 * An entry of the instance directory.
 *
 * @param id name of the instance
 * @param kind whether the instance runs a basilport daemon or a backend server
 * @param service name of the service of a backend server, empty for an entry instance
 * @param region region of the instance
 * @param dataCentre data centre of the instance
 * @param address IP address and port for requests
 * @param peerAddress IP address and port for calls between entry instances, empty for a backend
 *     server
 * @param state whether the instance is live or leaving
 * @param incarnation number that increases with each restart of the instance
 */
public record ListedInstance(
    String id,
    InstanceKind kind,
    String service,
    String region,
    String dataCentre,
    String address,
    String peerAddress,
    InstanceState state,
    long incarnation) {

  /** Returns a copy with another state. */
  public ListedInstance withState(InstanceState newState) {
    return new ListedInstance(
        id, kind, service, region, dataCentre, address, peerAddress, newState, incarnation);
  }
}
