package org.basilport.bench.policy;

import java.util.Arrays;

/**
 * Measures the largest difference in weighted service between workspaces that had queued requests
 * during a whole window.
 */
final class FairnessProbe {
  private static final int SAMPLES_PER_WINDOW = 180;

  private final double[] weights;
  private final double[] weightedService;
  private final double[] windowStartService;
  private final boolean[] backlogged;
  private int samples;

  FairnessProbe(double[] weights) {
    this.weights = weights;
    this.weightedService = new double[weights.length];
    this.windowStartService = new double[weights.length];
    this.backlogged = new boolean[weights.length];
    Arrays.fill(backlogged, true);
  }

  void recordService(int workspace, double amount) {
    weightedService[workspace] += amount / weights[workspace];
  }

  /**
   * Records which workspaces have queued requests; called once per second of virtual time.
   *
   * @return the difference at the end of a window, 0 within a window
   */
  double sample(int[] waiting) {
    for (int i = 0; i < weights.length; i++) {
      backlogged[i] &= waiting[i] > 0;
    }
    samples++;
    if (samples < SAMPLES_PER_WINDOW) {
      return 0;
    }
    double smallest = Double.POSITIVE_INFINITY;
    double largest = 0;
    for (int i = 0; i < weights.length; i++) {
      if (backlogged[i]) {
        double served = weightedService[i] - windowStartService[i];
        smallest = Math.min(smallest, served);
        largest = Math.max(largest, served);
      }
    }
    System.arraycopy(weightedService, 0, windowStartService, 0, weightedService.length);
    Arrays.fill(backlogged, true);
    samples = 0;
    return Math.max(0, largest - smallest);
  }
}
