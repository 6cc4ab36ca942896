package org.basilport.gateway.message;

import java.util.OptionalInt;

/**
 * Size of a generation as its caller announces it.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens largest number of output tokens
 * @param expectedOutputTokens the caller's estimate of the output; often far off
 */
public record GenerationSize(
    int promptTokens, int maxOutputTokens, OptionalInt expectedOutputTokens) {

  /** Share of the permitted output that is assumed when the caller gives no estimate. */
  private static final double DEFAULT_OUTPUT_SHARE = 0.5;

  /** The estimate of the output, bounded by what is permitted. */
  public int estimatedOutputTokens() {
    int estimate =
        expectedOutputTokens.orElse((int) Math.round(DEFAULT_OUTPUT_SHARE * maxOutputTokens));
    return Math.max(0, Math.min(maxOutputTokens, estimate));
  }
}
