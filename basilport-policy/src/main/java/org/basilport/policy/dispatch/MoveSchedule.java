package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the move of each generation from a leaving engine starts.
 *
 * <p>The copies of one engine share its link. If all moves started at once, the final copy of each
 * generation, during which it is paused, would queue behind the first copies of the others, and all
 * callers would see a pause of some hundred milliseconds. The moves therefore start one after
 * another: first by instance, in an order that all instances know, and within an instance by the
 * value of the generations.
 */
public final class MoveSchedule {
  /**
   * Link time of a move relative to one copy within a data centre; covers final copies and round
   * trips.
   */
  private static final double COPY_TIME_FACTOR = 1.15;

  /** Latest start: a reclaimed engine is gone 1.5 s after the notice and a copy takes 0.2 s. */
  private static final long LATEST_START_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

  private MoveSchedule() {}

  /**
   * Returns the delay before the move of each generation of this instance, in nanoseconds.
   *
   * @param precedingTokens memory of the generations of instances that move first, in tokens
   * @param ownTokens memory of the generations of this instance, in the order of their moves
   * @param copyNanosPerToken time to copy one token within a data centre
   */
  public static List<Long> delays(
      long precedingTokens, List<Long> ownTokens, double copyNanosPerToken) {
    List<Long> delays = new ArrayList<>();
    double tokens = precedingTokens;
    for (long own : ownTokens) {
      long start = Math.round(COPY_TIME_FACTOR * tokens * copyNanosPerToken);
      delays.add(Math.min(LATEST_START_NANOS, start));
      tokens += own;
    }
    return delays;
  }
}
