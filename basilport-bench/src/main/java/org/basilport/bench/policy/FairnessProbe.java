package org.basilport.bench.policy;

import java.util.Arrays;

/**
 * Measures the largest gap in weighted service between workspaces that were backlogged during a
 * whole window.
 */
final class FairnessProbe {
  private static final int SAMPLES_PER_WINDOW = 180;

  private final double[] weights;
  private final double[] service;
  private final double[] atStart;
  private final boolean[] backlogged;
  private int samples;

  FairnessProbe(double[] weights) {
    this.weights = weights;
    this.service = new double[weights.length];
    this.atStart = new double[weights.length];
    this.backlogged = new boolean[weights.length];
    Arrays.fill(backlogged, true);
  }

  void serve(int workspace, double amount) {
    service[workspace] += amount / weights[workspace];
  }

  /** Takes a sample each second; returns the gap at the end of a window and 0 within it. */
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
        double served = service[i] - atStart[i];
        smallest = Math.min(smallest, served);
        largest = Math.max(largest, served);
      }
    }
    System.arraycopy(service, 0, atStart, 0, service.length);
    Arrays.fill(backlogged, true);
    samples = 0;
    return Math.max(0, largest - smallest);
  }
}
