package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides when each generation of a leaving engine starts to move.
 *
 * <p>Copies of one engine run one after another on its link. If all start at once, the last copy of
 * each generation, for which it stands still, queues behind the first copies of the others, and all
 * callers see a pause of some hundred milliseconds. The generations therefore take turns: in the
 * order of the instances, whose shares all know, and within an instance in the order of their
 * worth.
 */
public final class MoveSchedule {
  /** Link time over that of a copy within a data centre, for last copies and round trips. */
  private static final double COPY_TIME_FACTOR = 1.15;

  /** Latest start; reclaimed engines are gone 1.5 s after the notice and a copy takes 0.2 s. */
  private static final long LATEST_START_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

  private MoveSchedule() {}

  /**
   * Returns the delay of each own generation, in nanoseconds.
   *
   * @param tokensBefore memory of the generations of instances that go first, in tokens
   * @param ownTokens memory of the own generations, in their order
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
