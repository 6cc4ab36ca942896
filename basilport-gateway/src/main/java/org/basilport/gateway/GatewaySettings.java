package org.basilport.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
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
 * @param maxProofAge age of the freshness proof above which access keys are not accepted
 * @param maxReadinessProofAge age of the freshness proof above which the instance is not ready
 * @param maxEventGap longest gap between two events of a stream; the server is abandoned afterwards
 */
public record GatewaySettings(
    String instanceId,
    String dataCentre,
    boolean firstStart,
    InetSocketAddress frontend,
    InetSocketAddress peerAddress,
    RetryLimits retryLimits,
    Duration maxProofAge,
    Duration maxReadinessProofAge,
    Duration maxEventGap) {

  /** Front-end address as host and port, separated by a colon. */
  public String frontendAddress() {
    return frontend.getHostString() + ":" + frontend.getPort();
  }
}
