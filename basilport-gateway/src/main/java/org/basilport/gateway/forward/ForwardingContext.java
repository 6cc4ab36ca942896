package org.basilport.gateway.forward;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.SplittableRandom;
import org.basilport.error.Step;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.message.MessageCodec;

/**
 * What all exchanges of an instance share.
 *
 * @param eventLoop the traffic thread
 * @param codec translates messages
 * @param state configuration and backend servers
 * @param events log of decisions
 * @param metrics counters and histograms
 * @param random source of jitter, used on the traffic thread only
 * @param maxEventGap longest pause between events after which a silent server is given up
 */
record ForwardingContext(
    EventLoop eventLoop,
    MessageCodec codec,
    ForwardingState state,
    EventSink events,
    MetricRegistry metrics,
    SplittableRandom random,
    Duration maxEventGap) {

  /** Records a refusal with the configuration that decided it and the age of its proof. */
  void recordRefusal(
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
