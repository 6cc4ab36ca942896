package org.basilport.policy.admission;

import org.basilport.policy.length.LengthDistribution;

/**
 * Forecast of key-value memory at a fixed set of future decode steps, in tokens.
 *
 * <p>Each generation of a batch grows by one token per step, so the memory at a future step is the
 * sum over the generations that are still running at that step. Reserving the final length of each
 * generation would reserve memory for peaks that never coincide: most of the memory that a long
 * generation needs at its end is free again by then.
 */
public final class MemoryForecast {
  private static final long[] HORIZON_STEPS = {
    0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384, 32768
  };

  /** Number of future steps in a forecast. */
  public static final int HORIZON_COUNT = HORIZON_STEPS.length;

  private final double[] mean = new double[HORIZON_COUNT];
  private final double[] variance = new double[HORIZON_COUNT];
  private double expectedTokens;
  private double expectedTokenSteps;

  /**
   * Sets this to the forecast of one generation.
   *
   * @param generated tokens generated so far
   */
  public void assign(
      long promptTokens, long generated, long maxTokens, LengthDistribution lengths) {
    expectedTokens = 0;
    expectedTokenSteps = 0;
    double previousSurvival = 1;
    for (int i = 0; i < HORIZON_COUNT; i++) {
      long horizon = HORIZON_STEPS[i];
      double survival =
          horizon == 0
              ? 1
              : generated + horizon >= maxTokens ? 0 : lengths.survival(generated, horizon);
      double heldTokens = promptTokens + generated + horizon;
      mean[i] = survival * heldTokens;
      variance[i] = survival * (1 - survival) * heldTokens * heldTokens;
      if (i > 0) {
        double steps = horizon - HORIZON_STEPS[i - 1];
        expectedTokens += steps * (survival + previousSurvival) / 2;
        expectedTokenSteps += steps * (mean[i] + mean[i - 1]) / 2;
      }
      previousSurvival = survival;
    }
  }

  /** Returns the expected number of further tokens of the generation that was assigned last. */
  public double expectedTokens() {
    return expectedTokens;
  }

  /**
   * Returns the expected sum of memory over future steps, in token steps, of the generation that
   * was assigned last.
   */
  public double expectedTokenSteps() {
    return expectedTokenSteps;
  }

  /** Adds another forecast multiplied by a factor; a negative factor removes it. */
  public void add(MemoryForecast other, double factor) {
    for (int i = 0; i < HORIZON_COUNT; i++) {
      mean[i] += factor * other.mean[i];
      variance[i] += factor * other.variance[i];
    }
  }

  /** Sets all values to zero. */
  public void clear() {
    for (int i = 0; i < HORIZON_COUNT; i++) {
      mean[i] = 0;
      variance[i] = 0;
    }
  }

  /**
   * Returns the expected memory at a future step.
   *
   * @param index index of the step, 0 for the current one
   */
  public double mean(int index) {
    return mean[index];
  }

  /** Returns the expected memory some steps after a future step, interpolated linearly. */
  public double meanAfter(int index, double steps) {
    double at = HORIZON_STEPS[index] + steps;
    int next = index;
    while (next < HORIZON_COUNT && HORIZON_STEPS[next] <= at) {
      next++;
    }
    if (next == HORIZON_COUNT) {
      return mean[HORIZON_COUNT - 1];
    }
    double fraction =
        (at - HORIZON_STEPS[next - 1]) / (HORIZON_STEPS[next] - HORIZON_STEPS[next - 1]);
    return mean[next - 1] + fraction * (mean[next] - mean[next - 1]);
  }

  /** Returns the variance of the memory at a future step. */
  public double variance(int index) {
    return variance[index];
  }
}
