package org.basilport.membership;

/**
 * An entry instance as seen by this one.
 *
 * @param id name of the instance
 * @param incarnation number that grows with each restart of the instance
 * @param status what the instance says of itself
 * @param health what this instance thinks of its heartbeats
 * @param region region of the instance
 * @param dataCentre data centre of the instance
 * @param address IP address and port for callers
 * @param peerAddress IP address and port for calls between instances
 * @param configurationNumber number of the configuration in force there
 * @param activeStreams streams that it serves
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

  /** Whether callers may be sent to this member. */
  public boolean serving() {
    return status == MemberStatus.SERVING && health != MemberHealth.DEAD;
  }
}
