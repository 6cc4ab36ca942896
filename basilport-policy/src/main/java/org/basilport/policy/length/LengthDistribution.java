package org.basilport.policy.length;

/** Distribution of the output length of one generation. */
@FunctionalInterface
public interface LengthDistribution {

  /**
   * Returns the probability that a generation which has produced some tokens produces more than a
   * further number of tokens.
   *
   * @param generated tokens produced so far
   * @param further number of further tokens, at least 0
   */
  double survival(long generated, long further);
}
