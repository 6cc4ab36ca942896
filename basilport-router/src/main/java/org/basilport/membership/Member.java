package org.basilport.membership;

/**
 * An entry instance as seen by this one.
 *
 * @param id name of the instance
 * @param incarnation number that increases with each restart of the instance
 * @param status status that the instance reports of itself
 * @param health health derived from its heartbeats by the observing instance
 * @param region region of the instance
 * @param dataCentre data centre of the instance
 * @param address IP address and port for callers
 * @param peerAddress IP address and port for calls between instances
 * @param configurationNumber number of its current configuration, 0 for none
 * @param activeStreams number of streams that it serves
 */
public record Member(
    String id,
    long incarnation,
    MemberStatus status,
    MemberHealth health,
    String region,
    String dataCentre,
    String address,
    String peerAddress,
    long configurationNumber,
    int activeStreams) {

  /** Returns whether callers may use this member. */
  public boolean serving() {
    return status == MemberStatus.SERVING && health != MemberHealth.DEAD;
  }
}
