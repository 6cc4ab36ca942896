package org.basilport.delivery;

import java.time.Duration;
import org.basilport.misc.Scheduler;

/** Measures the times at which the tokens of one session arrive. */
final class SessionMeter {
  private final TrafficMetrics metrics;
  private final Scheduler clock;
  private final String workspace;
  private long previousNanos;
  private boolean first;

  /** Starts the measurement of the first token for new work, or of gaps for a resumed stream. */
  SessionMeter(TrafficMetrics metrics, Scheduler clock, String workspace, boolean resumed) {
    this.metrics = metrics;
    this.clock = clock;
    this.workspace = workspace;
    this.previousNanos = clock.nanoTime();
    this.first = !resumed;
  }

  /** Tokens arrived from the engine. */
  void arrived() {
    long now = clock.nanoTime();
    Duration gap = Duration.ofNanos(now - previousNanos);
    previousNanos = now;
    if (first) {
      first = false;
      metrics.firstToken(workspace, gap);
    } else {
      metrics.tokenGap(workspace, gap);
    }
  }
}
