package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Chooses which generations of a leaving engine are moved when not all can be copied in time.
 *
 * <p>Answers a crowded engine that is reclaimed: if all its generations were copied, the copies
 * would share one link and none would be complete when the engine disappears. Each instance uses
 * the part of the link that its share of the engine's memory gives it.
 */
public final class MoveCandidateSelector {
  /** Link time for first copies; reclaimed engines are gone after 1.5 s, last copies follow. */
  private static final long COPY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

  private MoveCandidateSelector() {}

  /**
   * Returns the generations to move, the most valuable for their memory first.
   *
   * @param own generations of this instance
   * @param totalTokens memory of the generations of all instances, in tokens
   * @param copyNanosPerToken time to copy one token
   */
  public static <T> List<Candidate<T>> select(
      List<Candidate<T>> own, long totalTokens, double copyNanosPerToken) {
    List<Candidate<T>> ranked = new ArrayList<>(own);
    ranked.sort(Comparator.comparingDouble((Candidate<T> c) -> -c.valuePerToken()));
    long ownTokens = ranked.stream().mapToLong(Candidate::memoryTokens).sum();
    double linkTokens = copyNanosPerToken > 0 ? COPY_NANOS / copyNanosPerToken : Long.MAX_VALUE;
    double share = (double) ownTokens / Math.max(Math.max(1, totalTokens), ownTokens);
    double budget = linkTokens * share;
    List<Candidate<T>> selected = new ArrayList<>();
    long used = 0;
    for (Candidate<T> candidate : ranked) {
      // Half of a generation may exceed the budget, so that rounding neither adds nor loses on
      // average.
      if (used + candidate.memoryTokens() / 2.0 <= budget) {
        selected.add(candidate);
        used += candidate.memoryTokens();
      }
    }
    return selected;
  }

  /**
   * A generation that could be moved.
   *
   * @param generation what is moved
   * @param memoryTokens its memory, in tokens
   * @param value worth of its completion in any unit
   */
  public record Candidate<T>(T generation, long memoryTokens, double value) {
    double valuePerToken() {
      return value / Math.max(1, memoryTokens);
    }
  }
}
