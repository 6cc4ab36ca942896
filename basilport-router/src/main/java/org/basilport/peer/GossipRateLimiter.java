package org.basilport.peer;

import java.util.ArrayDeque;
import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/**
 * Limits the bytes of gossip that an instance sends. The maximum size of a message is a share of
 * the bytes available, so messages become smaller as their rate increases. An independent count
 * over a sliding window asserts the limit. Control thread only.
 *
 * <p>Each message is received by one instance, so an instance receives about as much as it sends.
 */
final class GossipRateLimiter {
  /** In both directions together, two thirds of the 21 KB/s allowed for control traffic. */
  static final int BYTES_PER_SECOND = 7_000;

  static final int WINDOW_SECONDS = 10;
  private static final int BURST_BYTES = 2 * BYTES_PER_SECOND;
  private static final int MIN_MESSAGE_BYTES = 160;
  private static final int MAX_MESSAGE_BYTES = 2_500;

  /** An instance with a larger debt rejects exchanges from peers until its bytes are refilled. */
  private static final int MAX_DEBT_BYTES = 2_000;

  /** Reports of crashing requests may enlarge a message that is otherwise full. */
  private static final int MAX_OVERRUN_BYTES = 8_000;

  private static final int AVAILABLE_BYTES_DIVISOR = 4;
  private static final double NANOS_PER_SECOND = 1e9;

  private final EventSink events;
  private final ArrayDeque<Sent> window = new ArrayDeque<>();
  private long windowBytes;
  private double availableBytes = BURST_BYTES;
  private long refilledAtNanos;

  GossipRateLimiter(EventSink events, long now) {
    this.events = events;
    this.refilledAtNanos = now;
  }

  /** Returns the maximum size of the next message, in bytes. */
  int maxMessageBytes(long now) {
    refill(now);
    return (int)
        Math.max(
            MIN_MESSAGE_BYTES,
            Math.min(MAX_MESSAGE_BYTES, availableBytes / AVAILABLE_BYTES_DIVISOR));
  }

  /** Returns whether this instance must not start exchanges. */
  boolean isExhausted(long now) {
    refill(now);
    return availableBytes < 0;
  }

  /** Returns whether this instance must also reject exchanges from peers. */
  boolean isOverLimit(long now) {
    refill(now);
    return availableBytes < -MAX_DEBT_BYTES;
  }

  /** Counts a sent message; fails with an invariant violation if the limit was exceeded. */
  void recordSent(int bytes, long now) {
    refill(now);
    availableBytes -= bytes;
    window.addLast(new Sent(now, bytes));
    windowBytes += bytes;
    while (now - window.peekFirst().sentAtNanos >= WINDOW_SECONDS * NANOS_PER_SECOND) {
      windowBytes -= window.removeFirst().bytes;
    }
    int allowedBytes =
        WINDOW_SECONDS * BYTES_PER_SECOND + BURST_BYTES + MAX_DEBT_BYTES + MAX_OVERRUN_BYTES;
    Invariant.check(
        windowBytes <= allowedBytes,
        events,
        "gossip-byte-rate",
        windowBytes + " bytes in " + WINDOW_SECONDS + " s, allowed " + allowedBytes);
  }

  private void refill(long now) {
    double refilledBytes = Math.max(0, now - refilledAtNanos) / NANOS_PER_SECOND * BYTES_PER_SECOND;
    availableBytes = Math.min(BURST_BYTES, availableBytes + refilledBytes);
    refilledAtNanos = now;
  }

  private record Sent(long sentAtNanos, int bytes) {}
}
