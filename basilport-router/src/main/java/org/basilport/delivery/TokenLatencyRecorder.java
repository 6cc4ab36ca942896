package org.basilport.delivery;

import java.time.Duration;
import org.basilport.misc.Scheduler;

/** Records the time to first token and the gaps between tokens of one session. */
final class TokenLatencyRecorder {
  private final TrafficMetrics metrics;
  private final Scheduler clock;
  private final String workspace;
  private long previousNanos;
  private boolean awaitingFirstToken;

  /** Starts measuring; a resumed stream has no first token to measure, only gaps. */
  TokenLatencyRecorder(TrafficMetrics metrics, Scheduler clock, String workspace, boolean resumed) {
    this.metrics = metrics;
    this.clock = clock;
    this.workspace = workspace;
    this.previousNanos = clock.nanoTime();
    this.awaitingFirstToken = !resumed;
  }

  /** Records the arrival of tokens from the engine. */
  void recordTokens() {
    long now = clock.nanoTime();
    Duration gap = Duration.ofNanos(now - previousNanos);
    previousNanos = now;
    if (awaitingFirstToken) {
      awaitingFirstToken = false;
      metrics.recordFirstTokenLatency(workspace, gap);
    } else {
      metrics.recordTokenGap(workspace, gap);
    }
  }
}
