package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Selects the generations of a leaving engine to move when not all can be copied in time.
 *
 * <p>If all generations of a heavily loaded engine were copied, the copies would share one link and
 * none would be complete when the engine is gone. Each instance uses the link in proportion to its
 * share of the engine's memory in use.
 */
public final class MoveCandidateSelector {
  /**
   * Link time for first copies: a reclaimed engine is gone after 1.5 s, and the final copies need
   * the rest.
   */
  private static final long COPY_BUDGET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

  private MoveCandidateSelector() {}

  /**
   * Returns the generations to move, in descending order of value per token of memory.
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
    double linkTokens =
        copyNanosPerToken > 0 ? COPY_BUDGET_NANOS / copyNanosPerToken : Long.MAX_VALUE;
    double share = (double) ownTokens / Math.max(Math.max(1, totalTokens), ownTokens);
    double budget = linkTokens * share;
    List<Candidate<T>> selected = new ArrayList<>();
    long used = 0;
    for (Candidate<T> candidate : ranked) {
      // Up to half of a generation may exceed the budget, so that rounding is neutral on average.
      if (used + candidate.memoryTokens() / 2.0 <= budget) {
        selected.add(candidate);
        used += candidate.memoryTokens();
      }
    }
    return selected;
  }

  /**
   * A generation that may be moved.
   *
   * @param generation the generation
   * @param memoryTokens its memory, in tokens
   * @param value value of its completion, in an arbitrary unit
   */
  public record Candidate<T>(T generation, long memoryTokens, double value) {
    double valuePerToken() {
      return value / Math.max(1, memoryTokens);
    }
  }
}
