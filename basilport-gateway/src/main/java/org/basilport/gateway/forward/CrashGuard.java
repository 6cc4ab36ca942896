package org.basilport.gateway.forward;

import java.util.Optional;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.CrashMonitor;
import org.basilport.policy.dispatch.AnswerProgress;
import org.basilport.policy.dispatch.Quarantine;
import org.basilport.policy.dispatch.RequestContent;

/** Tells the crash monitor how the runs of one request end, and whether it may be sent. */
final class CrashGuard {
  private final CrashMonitor monitor;
  private final RequestContent content;
  private final AnswerProgress progress = new AnswerProgress();

  CrashGuard(CrashMonitor monitor, RequestContent content) {
    this.monitor = monitor;
    this.content = content;
  }

  /** The quarantine that prohibits to send the request; empty if it may be sent. */
  Optional<Quarantine> quarantine() {
    return progress.sound() ? Optional.empty() : monitor.quarantine(content);
  }

  /** Called when the request is sent to a server. */
  void onSent() {
    progress.recordSend();
  }

  /** Called when the server has begun its response to this attempt. */
  void onAnswerStarted() {
    progress.recordStart(System.nanoTime());
  }

  /** Called when the server goes on with its response. */
  void onAnswerContinued() {
    if (progress.recordContinuation(System.nanoTime())) {
      monitor.recordSound(content);
    }
  }

  /** Called when the server has answered the request completely. */
  void onAnswered() {
    progress.recordCompletion();
    monitor.recordSound(content);
  }

  /** Called when the connection was lost while the server processed the request. */
  void onConnectionLost(BackendServer server) {
    if (!progress.sound()) {
      monitor.recordLostRun(content, progress.answering(), server);
    }
  }

  /** Called when no connection to a server could be opened. */
  void onUnreachable(BackendServer server, String reason) {
    server.load().health().recordUnreachable(System.nanoTime());
    if (!server.load().leaving()) {
      monitor.recordDeadServer(server.entry(), reason);
    }
  }

  /** Whether the server has begun its response to this attempt. */
  boolean answering() {
    return progress.answering();
  }
}
