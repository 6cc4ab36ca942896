package org.basilport.router;

/**
 * What an instance knows of itself at start.
 *
 * @param instanceId name of the instance, as in the instance list
 * @param incarnation number that grows with each restart
 * @param region region of the instance
 * @param dataCentre data centre of the instance
 * @param address IP address and port for callers
 * @param peerAddress IP address and port for other instances
 * @param clusterKey secret that signs resume tokens and guards calls between instances
 * @param drainLimitMillis longest time that live streams may take before they are handed over
 * @param resumeWindowMillis how long a generation without a reader is kept
 * @param fleetWritesPerSecond writes to the object API allowed to all instances together
 * @param fleetReadsPerSecond reads of the object API allowed to all instances together
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
