package org.basilport.policy.dispatch;

import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

/**
 * Sliding window of the requests that one instance has sent to one start of a server.
 *
 * <p>The load it answers: 39 or 50 servers turn cold at once while up to 84 instances hold a few
 * requests for each. A cold server bears 44 requests within a second from all instances together,
 * so that most instances may send it one request in a window, or none.
 */
public final class ColdStartShare {
  /**
   * Longest difference between the times that two requests take from the permit to their arrival: a
   * retransmission (200 ms at the least), a round trip between data centres, and delays of threads.
   */
  static final long ARRIVAL_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Time for which a used permit stays used. Two requests sent further apart arrive more than a
   * second apart.
   */
  public static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1) + ARRIVAL_MARGIN_NANOS;

  /**
   * Time for which a placed request is expected to be sent. It covers opening a connection; a
   * request that fails to connect keeps its permit from others no longer than this.
   */
  private static final long PLACEMENT_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final ArrayDeque<Long> sends = new ArrayDeque<>();
  private final ArrayDeque<Long> placements = new ArrayDeque<>();

  /**
   * Takes a permit for a request that is sent now; it is not returned if the send fails.
   *
   * @param permits requests that the instance may send in a window
   * @return whether the request may be sent
   */
  public boolean tryAcquire(int permits, long nowNanos) {
    if (!permitsSend(permits, nowNanos)) {
      return false;
    }
    sends.addLast(nowNanos);
    placements.pollFirst();
    return true;
  }

  /**
   * Records a request that is sent without a permit because the server is not known to be cold. It
   * counts if the server turns out to be cold within the window.
   *
   * @param maxRecorded number of requests that are remembered, at least the permits of a window
   */
  public void recordSend(int maxRecorded, long nowNanos) {
    sends.addLast(nowNanos);
    while (sends.size() > maxRecorded) {
      sends.removeFirst();
    }
  }

  /** Whether a request may be sent now. */
  public boolean permitsSend(int permits, long nowNanos) {
    removeExpired(nowNanos);
    return sends.size() < permits;
  }

  /** Whether a permit is left for another request, beside those that are placed and not sent. */
  public boolean permitsPlacement(int permits, long nowNanos) {
    removeExpired(nowNanos);
    return sends.size() + placements.size() < permits;
  }

  /** Records that a request was placed, which is going to need a permit. */
  public void recordPlaced(long nowNanos) {
    placements.addLast(nowNanos);
  }

  /** Time until another request can be placed; empty if the instance holds no permit. */
  public OptionalLong nanosToPlacement(int permits, long nowNanos) {
    if (permits <= 0) {
      return OptionalLong.empty();
    }
    if (permitsPlacement(permits, nowNanos)) {
      return OptionalLong.of(0);
    }
    int excess = sends.size() + placements.size() - permits;
    return LongStream.concat(
            sends.stream().mapToLong(sent -> sent + WINDOW_NANOS + 1 - nowNanos),
            placements.stream().mapToLong(at -> at + PLACEMENT_VALIDITY_NANOS + 1 - nowNanos))
        .sorted()
        .skip(excess)
        .findFirst();
  }

  private void removeExpired(long nowNanos) {
    while (!sends.isEmpty() && nowNanos - sends.peekFirst() > WINDOW_NANOS) {
      sends.removeFirst();
    }
    while (!placements.isEmpty() && nowNanos - placements.peekFirst() > PLACEMENT_VALIDITY_NANOS) {
      placements.removeFirst();
    }
  }
}
