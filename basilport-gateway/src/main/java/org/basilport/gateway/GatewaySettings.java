package org.basilport.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.basilport.gateway.forward.ForwardingState.RetryLimits;

/**
 * Settings of the forwarding path of one instance.
 *
 * @param instanceId id of the instance
 * @param dataCentre data centre of the instance
 * @param firstStart whether the whole fleet starts for the first time
 * @param frontend address that callers connect to
 * @param peerAddress address that takes datagrams of other instances
 * @param retryLimits limits on requests that are sent again
 * @param maxProofAge age of the proof of freshness above which keys are no longer accepted
 * @param maxReadinessProofAge age of the proof above which the instance is not ready
 * @param maxEventGap silence of a stream after which its server is given up
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

  /** The address of the front end as callers write it. */
  public String frontendAddress() {
    return frontend.getHostString() + ":" + frontend.getPort();
  }
}
