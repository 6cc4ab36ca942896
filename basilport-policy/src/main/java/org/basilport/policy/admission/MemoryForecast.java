package org.basilport.policy.admission;

import org.basilport.policy.length.LengthDistribution;

/**
 * Forecast of key-value memory at a set of future steps, in tokens.
 *
 * <p>All generations of a batch grow by one token in each step, so the memory at a future step is
 * the sum over the generations that are still running then. Summing the final length of each
 * generation instead would reserve memory for peaks that never coincide: most of the memory that a
 * long generation needs at its end is free again by then.
 */
public final class MemoryForecast {
  private static final long[] HORIZONS = {
    0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384, 32768
  };

  /** Number of future steps that are looked at. */
  public static final int SIZE = HORIZONS.length;

  private final double[] mean = new double[SIZE];
  private final double[] variance = new double[SIZE];
  private double tokens;
  private double tokenSteps;

  /** Sets this to the forecast of one generation. */
  public void assign(
      long promptTokens, long generated, long maxTokens, LengthDistribution lengths) {
    tokens = 0;
    tokenSteps = 0;
    double aliveBefore = 1;
    for (int i = 0; i < SIZE; i++) {
      long further = HORIZONS[i];
      double alive =
          further == 0
              ? 1
              : generated + further >= maxTokens ? 0 : lengths.survival(generated, further);
      double held = promptTokens + generated + further;
      mean[i] = alive * held;
      variance[i] = alive * (1 - alive) * held * held;
      if (i > 0) {
        double steps = further - HORIZONS[i - 1];
        tokens += steps * (alive + aliveBefore) / 2;
        tokenSteps += steps * (mean[i] + mean[i - 1]) / 2;
      }
      aliveBefore = alive;
    }
  }

  /** Returns the expected number of further tokens of the generation that was assigned last. */
  public double tokens() {
    return tokens;
  }

  /** Returns the expected memory times steps of the generation that was assigned last. */
  public double tokenSteps() {
    return tokenSteps;
  }

  /** Adds another forecast, multiplied by a sign or share. */
  public void add(MemoryForecast other, double factor) {
    for (int i = 0; i < SIZE; i++) {
      mean[i] += factor * other.mean[i];
      variance[i] += factor * other.variance[i];
    }
  }

  /** Sets all values to zero. */
  public void clear() {
    for (int i = 0; i < SIZE; i++) {
      mean[i] = 0;
      variance[i] = 0;
    }
  }

  /** Returns the expected memory at a position of the future steps. */
  public double mean(int index) {
    return mean[index];
  }

  /** Returns the expected memory a number of steps after a position, interpolated. */
  public double meanAfter(int index, double steps) {
    double at = HORIZONS[index] + steps;
    int next = index;
    while (next < SIZE && HORIZONS[next] <= at) {
      next++;
    }
    if (next == SIZE) {
      return mean[SIZE - 1];
    }
    double share = (at - HORIZONS[next - 1]) / (HORIZONS[next] - HORIZONS[next - 1]);
    return mean[next - 1] + share * (mean[next] - mean[next - 1]);
  }

  /** Returns the variance of the memory at a position of the future steps. */
  public double variance(int index) {
    return variance[index];
  }
}
