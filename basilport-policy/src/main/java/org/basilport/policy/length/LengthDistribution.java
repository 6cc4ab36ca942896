package org.basilport.policy.length;

/** Distribution of the output length of a generation; updated with observations. */
@FunctionalInterface
public interface LengthDistribution {

  /**
   * Returns the probability that a running generation produces more than a number of further
   * tokens.
   *
   * @param generatedTokens tokens produced so far
   * @param furtherTokens number of further tokens, at least 0
   */
  double survival(long generatedTokens, long furtherTokens);

  /**
   * Records the growth of a running generation.
   *
   * @param previousTokens tokens at the previous observation; -1 for the first one
   * @param currentTokens tokens produced so far
   */
  default void recordGrowth(long previousTokens, long currentTokens) {}

  /**
   * Records the natural end of a generation whose growth was recorded.
   *
   * @param length output length, in tokens
   */
  default void recordEnd(long length) {}
}
