package org.basilport.peer;

import java.util.ArrayDeque;
import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/**
 * Bounds the gossip that an instance sends. The room for a message is a share of what is left, so
 * messages become smaller when there are more of them. An independent count of the last seconds
 * asserts the limit. Control thread only.
 *
 * <p>Every message is received by one instance, so an instance receives about as much as it sends.
 */
final class GossipBudget {
  /** Two thirds of the 21 KB/s for control work, in both directions together. */
  static final int BYTES_PER_SECOND = 7_000;

  static final int WINDOW_SECONDS = 10;
  private static final int BURST_BYTES = 2 * BYTES_PER_SECOND;
  private static final int MIN_ROOM_BYTES = 160;
  private static final int MAX_ROOM_BYTES = 2_500;

  /** An instance that owes more than this answers no peers until it has caught up. */
  private static final int MAX_DEBT_BYTES = 2_000;

  /** News of crashing requests may take some room in a message that is full otherwise. */
  private static final int OVERRUN_BYTES = 8_000;

  private static final int ROOM_SHARE = 4;
  private static final double NANOS_PER_SECOND = 1e9;

  private final EventSink events;
  private final ArrayDeque<Sent> window = new ArrayDeque<>();
  private long windowBytes;
  private double available = BURST_BYTES;
  private long refilledAt;

  GossipBudget(EventSink events, long now) {
    this.events = events;
    this.refilledAt = now;
  }

  /** Bytes that the next message should have at most. */
  int room(long now) {
    refill(now);
    return (int) Math.max(MIN_ROOM_BYTES, Math.min(MAX_ROOM_BYTES, available / ROOM_SHARE));
  }

  /** Whether exchanges should not be started. */
  boolean spent(long now) {
    refill(now);
    return available < 0;
  }

  /** Whether peers should not be answered either. */
  boolean overdrawn(long now) {
    refill(now);
    return available < -MAX_DEBT_BYTES;
  }

  /** Counts a message; fails when more was sent than the limit allows. */
  void sent(int bytes, long now) {
    refill(now);
    available -= bytes;
    window.addLast(new Sent(now, bytes));
    windowBytes += bytes;
    while (now - window.peekFirst().at >= WINDOW_SECONDS * NANOS_PER_SECOND) {
      windowBytes -= window.removeFirst().bytes;
    }
    int allowed = WINDOW_SECONDS * BYTES_PER_SECOND + BURST_BYTES + MAX_DEBT_BYTES + OVERRUN_BYTES;
    Invariant.check(
        windowBytes <= allowed,
        events,
        "gossip-byte-rate",
        windowBytes + " bytes in " + WINDOW_SECONDS + " s, allowed " + allowed);
  }

  private void refill(long now) {
    double gained = Math.max(0, now - refilledAt) / NANOS_PER_SECOND * BYTES_PER_SECOND;
    available = Math.min(BURST_BYTES, available + gained);
    refilledAt = now;
  }

  private record Sent(long at, int bytes) {}
}
