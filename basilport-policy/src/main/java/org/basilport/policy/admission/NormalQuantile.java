package org.basilport.policy.admission;

/** Quantiles of the standard normal distribution. */
final class NormalQuantile {
  private static final double[] NUMERATOR = {2.515517, 0.802853, 0.010328};
  private static final double[] DENOMINATOR = {1.432788, 0.189269, 0.001308};

  private NormalQuantile() {}

  /** Returns a quantile with an absolute error below 0.00045 (Abramowitz and Stegun, 26.2.23). */
  static double of(double probability) {
    if (probability < 0.5) {
      return -of(1 - probability);
    }
    double t = Math.sqrt(-2 * Math.log(Math.max(1 - probability, Double.MIN_NORMAL)));
    double numerator = NUMERATOR[0] + t * (NUMERATOR[1] + t * NUMERATOR[2]);
    double denominator = 1 + t * (DENOMINATOR[0] + t * (DENOMINATOR[1] + t * DENOMINATOR[2]));
    return t - numerator / denominator;
  }
}
