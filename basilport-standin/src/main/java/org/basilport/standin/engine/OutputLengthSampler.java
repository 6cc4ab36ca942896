package org.basilport.standin.engine;

import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Samples output lengths from a log-normal distribution unless the prompt sets the length. */
final class OutputLengthSampler {
  private static final Pattern LENGTH_DIRECTIVE = Pattern.compile("length=(\\d{1,7})");

  private final double medianLength;
  private final double sigma;
  private final SplittableRandom random;

  OutputLengthSampler(double medianLength, double sigma, SplittableRandom random) {
    this.medianLength = medianLength;
    this.sigma = sigma;
    this.random = random;
  }

  int sample(String prompt) {
    Matcher directive = LENGTH_DIRECTIVE.matcher(prompt);
    if (directive.find()) {
      return Math.max(1, Integer.parseInt(directive.group(1)));
    }
    double length = medianLength * Math.exp(sigma * gaussian());
    return (int) Math.max(1, Math.min(100_000, Math.round(length)));
  }

  /** Standard normal sample by the Box-Muller transform, which uses two uniform samples. */
  private double gaussian() {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
