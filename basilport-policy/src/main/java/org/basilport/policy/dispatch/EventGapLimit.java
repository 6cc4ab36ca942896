package org.basilport.policy.dispatch;

import java.time.Duration;
import java.util.stream.Stream;

/**
 * Limit of the gap between two events of a stream, and before its first event.
 *
 * <p>The load it answers: engines that are slow but sound, and engines that stall. Callers abandon
 * a stream after a multiple of its targets; a server is given up no sooner, since its silence alone
 * does not show that it has failed, and no later, since nobody waits for the stream any more.
 */
public final class EventGapLimit {
  /** Gap as a multiple of the target time to the first event. */
  private static final int FIRST_EVENT_FACTOR = 4;

  /** Gap as a multiple of the target gap between events. */
  private static final int EVENT_GAP_FACTOR = 8;

  private EventGapLimit() {}

  /**
   * Returns the limit for a route.
   *
   * @param minimum limit that is at least permitted on every route
   * @param targetFirstEvent target time to the first event
   * @param targetGap target gap between events; zero if the route has none
   */
  public static Duration of(Duration minimum, Duration targetFirstEvent, Duration targetGap) {
    return Stream.of(
            minimum,
            targetFirstEvent.multipliedBy(FIRST_EVENT_FACTOR),
            targetGap.multipliedBy(EVENT_GAP_FACTOR))
        .max(Duration::compareTo)
        .orElse(minimum);
  }
}
