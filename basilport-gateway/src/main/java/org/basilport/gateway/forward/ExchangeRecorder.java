package org.basilport.gateway.forward;

import org.basilport.error.Step;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.Quarantine;

/** Records the events and counters of one exchange. */
final class ExchangeRecorder {
  private final ForwardingContext context;
  private final Exchange exchange;

  ExchangeRecorder(ForwardingContext context, Exchange exchange) {
    this.context = context;
    this.exchange = exchange;
  }

  EventSubject subject() {
    return EventSubject.request(
            exchange.request.id(), exchange.holder.map(KeyHolder::workspace).orElse(""))
        .withServer(exchange.serverId());
  }

  /** Counts and records that the connection was lost while the server processed the request. */
  void connectionLost() {
    context.metrics().counter("forward.lost_runs").inc();
    context
        .events()
        .record(
            EventType.RUNNING_REQUEST_LOST,
            subject(),
            exchange.request.id(),
            exchange.serverId(),
            exchange.crashGuard.answering(),
            exchange.eventCount(),
            String.join(",", exchange.request.sharedPromptParts()));
  }

  /** Counts and records that the request is quarantined. */
  void quarantined(Quarantine quarantine) {
    context.metrics().counter("forward.quarantined").inc();
    context
        .events()
        .record(
            EventType.REQUEST_QUARANTINED,
            subject(),
            Long.toHexString(quarantine.content()),
            "several");
  }

  /**
   * Records that the request is sent to its server, with the load that the decision was based on.
   */
  void sent(int attempts, ResumePoint resumePoint) {
    OutstandingWork total = exchange.server.load().totalWork();
    context
        .events()
        .record(
            EventType.REQUEST_SENT,
            subject(),
            exchange.request.id(),
            exchange.route.name(),
            exchange.serverId(),
            attempts,
            total.requests(),
            total.pendingPrefillTokens(),
            total.memoryTokens(),
            exchange.elapsedMillis(),
            resumePoint);
  }

  /**
   * Records that the request takes up a stream.
   *
   * @param version software version at which it may go on
   * @param source how the version was determined
   */
  void takenUp(String version, String source) {
    context.metrics().counter("forward.take_ups").inc();
    context
        .events()
        .record(
            EventType.STREAM_TAKEN_UP,
            subject(),
            exchange.request.id(),
            exchange.request.resumedRequestId().orElse("unnamed"),
            exchange.request.lastEventId().orElse(""),
            version,
            source);
  }

  /**
   * Records that the request is placed again.
   *
   * @param runs number of earlier sends that servers may have executed
   */
  void retried(int runs, String reason) {
    if (runs > 0) {
      context.metrics().counter("forward.sent_again_after_run").inc();
    }
    context
        .events()
        .record(
            EventType.REQUEST_RETRIED,
            subject(),
            exchange.request.id(),
            exchange.serverId(),
            runs,
            exchange.eventCount(),
            reason);
  }

  /** Records that the caller disconnected before the response was complete. */
  void callerLeft() {
    context
        .events()
        .record(
            EventType.CALLER_LEFT,
            subject(),
            exchange.request.id(),
            exchange.serverId(),
            exchange.eventCount());
  }

  /** Counts and records a response that the gateway generates itself. */
  void localReply(int status, Step step, String reason) {
    context.metrics().counter("forward.answers." + status).inc();
    if (status == 503) {
      context.recordRejection(
          subject(),
          exchange.request.id(),
          status,
          step,
          reason,
          exchange.dispatcher.queueLength());
    } else {
      failed(status, step, reason);
    }
  }

  /** Records that the caller receives no complete response of a server. */
  void failed(int status, Step step, String reason) {
    context
        .events()
        .record(
            EventType.REQUEST_FAILED,
            subject(),
            exchange.request.id(),
            status,
            exchange.serverId(),
            exchange.eventCount(),
            step + ": " + reason);
  }

  /** Counts and records the complete response of a server. */
  void finished(int status, long firstEventMillis) {
    context.metrics().counter("forward.answers." + status).inc();
    context
        .events()
        .record(
            EventType.REQUEST_FINISHED,
            subject(),
            exchange.request.id(),
            status,
            exchange.serverId(),
            exchange.elapsedMillis(),
            firstEventMillis,
            exchange.eventCount());
  }
}
