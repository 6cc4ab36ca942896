package org.basilport.gateway.forward;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.basilport.misc.LoggedTask;

/**
 * Measures the gap since the latest event of a stream, and reports when it is suspicious or too
 * long. Confined to the event loop thread.
 */
final class EventGapMonitor {
  /**
   * Gap between events, as a fraction of the longest permitted gap, after which the engine is
   * probed. The host of an engine that lost power does not reset its connections.
   */
  private static final double PROBE_RATIO = 0.25;

  /** Checks within the longest permitted gap. */
  private static final int CHECKS_PER_GAP = 4;

  private final EventLoop eventLoop;
  private final Duration maxGap;
  private final Listener listener;
  private long lastEventNanos;
  private ScheduledFuture<?> timer;

  /** Receives the gaps, at each check while they last. */
  interface Listener {
    /** Called when the server may have been lost. */
    void onSuspiciousGap();

    /** Called when the gap is longer than permitted. */
    void onGapExceeded();
  }

  /**
   * Creates a monitor that is not started.
   *
   * @param maxGap longest permitted gap
   */
  EventGapMonitor(EventLoop eventLoop, Duration maxGap, Listener listener) {
    this.eventLoop = eventLoop;
    this.maxGap = maxGap;
    this.listener = listener;
  }

  /** Records an event or the send of the request; the first call starts the checks. */
  void recordEvent() {
    lastEventNanos = System.nanoTime();
    if (timer == null) {
      long interval = maxGap.toNanos() / CHECKS_PER_GAP;
      timer =
          eventLoop.scheduleWithFixedDelay(
              new LoggedTask(this::check), interval, interval, TimeUnit.NANOSECONDS);
    }
  }

  private void check() {
    long gapNanos = System.nanoTime() - lastEventNanos;
    if (gapNanos > maxGap.toNanos()) {
      listener.onGapExceeded();
    } else if (gapNanos > PROBE_RATIO * maxGap.toNanos()) {
      listener.onSuspiciousGap();
    }
  }

  /** Longest permitted gap. */
  Duration maxGap() {
    return maxGap;
  }

  /** Ends the checks. */
  void stop() {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
