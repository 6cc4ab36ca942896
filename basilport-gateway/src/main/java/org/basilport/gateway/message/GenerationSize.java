package org.basilport.gateway.message;

import java.util.OptionalInt;

/**
 * Size of a generation as stated by its caller.
 *
 * @param promptTokens number of prompt tokens
 * @param maxOutputTokens maximum number of output tokens
 * @param expectedOutputTokens the caller's estimate of the number of output tokens, which is often
 *     inaccurate
 */
public record GenerationSize(
    int promptTokens, int maxOutputTokens, OptionalInt expectedOutputTokens) {

  /** Fraction of the maximum output that is assumed without an estimate of the caller. */
  private static final double DEFAULT_OUTPUT_SHARE = 0.5;

  /** Estimated number of output tokens, at most the permitted maximum. */
  public int estimatedOutputTokens() {
    int estimate =
        expectedOutputTokens.orElse((int) Math.round(DEFAULT_OUTPUT_SHARE * maxOutputTokens));
    return Math.max(0, Math.min(maxOutputTokens, estimate));
  }
}
