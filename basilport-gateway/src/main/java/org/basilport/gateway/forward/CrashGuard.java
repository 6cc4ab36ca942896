package org.basilport.gateway.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.CrashMonitor;
import org.basilport.policy.dispatch.Quarantine;
import org.basilport.policy.dispatch.RequestContent;

/** Tells the crash monitor how the runs of one request end, and whether it may be sent. */
final class CrashGuard {
  /**
   * Duration of a response after which its request is sound: a request that crashes its server does
   * so as the response begins.
   */
  private static final long SOUND_ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final CrashMonitor monitor;
  private final RequestContent content;
  private boolean answering;
  private boolean provenSound;
  private long answerStartNanos;

  CrashGuard(CrashMonitor monitor, RequestContent content) {
    this.monitor = monitor;
    this.content = content;
  }

  /** The quarantine that prohibits to send the request; empty if it may be sent. */
  Optional<Quarantine> quarantine() {
    return provenSound ? Optional.empty() : monitor.quarantine(content);
  }

  /** Called when the request is sent to a server. */
  void onSent() {
    answering = false;
  }

  /** Called when the server has begun its response to this attempt. */
  void onAnswerStarted() {
    answering = true;
    answerStartNanos = System.nanoTime();
  }

  /** Called when the server goes on with its response. */
  void onAnswerContinued() {
    if (!provenSound && System.nanoTime() - answerStartNanos > SOUND_ANSWER_NANOS) {
      onAnswered();
    }
  }

  /** Called when the server has answered the request. */
  void onAnswered() {
    provenSound = true;
    monitor.detector().recordSound(content, System.nanoTime());
  }

  /** Called when the connection was lost while the server processed the request. */
  void onConnectionLost(BackendServer server) {
    if (!provenSound) {
      monitor.recordLostRun(content, answering, server);
    }
  }

  /** Called when no connection to a server could be opened. */
  void onUnreachable(BackendServer server, String reason) {
    monitor.recordDeadServer(server.entry(), reason);
  }

  /** Whether the server has begun its response to this attempt. */
  boolean answering() {
    return answering;
  }
}
