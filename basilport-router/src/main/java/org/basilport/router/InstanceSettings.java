package org.basilport.router;

/**
 * Settings that an instance starts with.
 *
 * @param instanceId name of the instance in the instance directory
 * @param incarnation number that increases with each restart
 * @param region region of the instance
 * @param dataCentre data centre of the instance
 * @param address IP address and port for callers
 * @param peerAddress IP address and port for other instances
 * @param clusterKey secret that signs resume tokens and authenticates calls between instances
 * @param drainLimitMillis time after which a drain hands running streams over, in milliseconds
 * @param resumeWindowMillis retention of a generation without a reader, in milliseconds
 * @param fleetWritesPerSecond write rate limit of the object store for all instances together
 * @param fleetReadsPerSecond read rate limit of the object store for all instances together
 */
public record InstanceSettings(
    String instanceId,
    long incarnation,
    String region,
    String dataCentre,
    String address,
    String peerAddress,
    String clusterKey,
    long drainLimitMillis,
    long resumeWindowMillis,
    int fleetWritesPerSecond,
    int fleetReadsPerSecond) {

  @Override
  public String toString() {
    return "InstanceSettings[" + instanceId + "@" + incarnation + " " + address + "]";
  }
}
