package org.basilport.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.basilport.gateway.config.PlacementRules;
import org.basilport.gateway.forward.ForwardingLimits;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;

/**
 * Settings of the gateway of one instance.
 *
 * @param instanceId id of the instance
 * @param dataCentre data centre of the instance
 * @param firstStart whether the fleet starts for the first time
 * @param frontend address to which callers connect
 * @param peerAddress address that receives datagrams of other instances
 * @param retryLimits limits on retries
 * @param maxReadinessProofAge age of the freshness proof above which the instance is not ready
 * @param forwardingLimits limits on proofs and on gaps between events
 * @param placementRules what the deployment demands of the choice of servers
 */
public record GatewaySettings(
    String instanceId,
    String dataCentre,
    boolean firstStart,
    InetSocketAddress frontend,
    InetSocketAddress peerAddress,
    RetryLimits retryLimits,
    Duration maxReadinessProofAge,
    ForwardingLimits forwardingLimits,
    PlacementRules placementRules) {

  /** Creates settings of a deployment that demands nothing of the choice of servers. */
  public GatewaySettings(
      String instanceId,
      String dataCentre,
      boolean firstStart,
      InetSocketAddress frontend,
      InetSocketAddress peerAddress,
      RetryLimits retryLimits,
      Duration maxReadinessProofAge,
      ForwardingLimits forwardingLimits) {
    this(
        instanceId,
        dataCentre,
        firstStart,
        frontend,
        peerAddress,
        retryLimits,
        maxReadinessProofAge,
        forwardingLimits,
        PlacementRules.NONE);
  }

  /** Front-end address as host and port, separated by a colon. */
  public String frontendAddress() {
    return frontend.getHostString() + ":" + frontend.getPort();
  }
}
