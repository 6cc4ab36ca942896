package org.basilport.policy.length;

/** Distribution of the output length of a generation, which learns from what it is told. */
@FunctionalInterface
public interface LengthDistribution {

  /**
   * Returns the probability that a generation which has produced some tokens produces more than a
   * further number of tokens.
   *
   * @param generated tokens produced so far
   * @param further number of further tokens, at least 0
   */
  double survival(long generatedTokens, long furtherTokens);

  /**
   * Tells that a running generation grew.
   *
   * @param before tokens at the previous observation; -1 at the first one
   * @param now tokens produced so far
   */
  default void recordGrowth(long previousTokens, long currentTokens) {}

  /** Tells that a generation, whose growth was told, reached its natural end. */
  default void recordEnd(long length) {}
}
