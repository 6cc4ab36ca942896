package org.basilport.gateway.forward;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import org.basilport.error.Step;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.message.MessageCodec;
import org.basilport.policy.dispatch.ResponseBufferBudget;

/**
 * Dependencies that all exchanges of an instance share.
 *
 * @param eventLoop event loop of connections, timers and all forwarding decisions
 * @param codec translates between HTTP messages and typed messages
 * @param state configuration and backend servers
 * @param events receives the events of requests and moves
 * @param metrics counters and histograms
 * @param random source of jitter; confined to the event loop thread
 * @param responseBuffer memory of the response bodies that are kept until they are complete
 * @param limits limits on proofs and on gaps between events
 * @param homeRegions regions of requests and servers
 */
record ForwardingContext(
    EventLoop eventLoop,
    MessageCodec codec,
    ForwardingState state,
    EventSink events,
    MetricRegistry metrics,
    SplittableRandom random,
    ResponseBufferBudget responseBuffer,
    ForwardingLimits limits,
    HomeRegions homeRegions) {

  /**
   * Records a rejection with the version of the applied configuration and the age of its freshness
   * proof.
   */
  void recordRejection(
      EventSubject subject, String id, int status, Step step, String reason, int queueLength) {
    events.record(
        EventType.REQUEST_REFUSED,
        subject,
        id,
        status,
        step,
        reason,
        state.configurationVersion(),
        state.proofAgeMillis(),
        queueLength);
  }
}
