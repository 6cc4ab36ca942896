package org.basilport.standin.engine;

import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Draws output lengths from a log-normal distribution, unless the prompt states one. */
final class OutputLengths {
  private static final Pattern STATED = Pattern.compile("length=(\\d{1,7})");

  private final double medianLength;
  private final double sigma;
  private final SplittableRandom random;

  OutputLengths(double medianLength, double sigma, SplittableRandom random) {
    this.medianLength = medianLength;
    this.sigma = sigma;
    this.random = random;
  }

  int draw(String prompt) {
    Matcher stated = STATED.matcher(prompt);
    if (stated.find()) {
      return Math.max(1, Integer.parseInt(stated.group(1)));
    }
    double length = medianLength * Math.exp(sigma * gaussian());
    return (int) Math.max(1, Math.min(100_000, Math.round(length)));
  }

  /** Box-Muller transform, which takes two draws for each value. */
  private double gaussian() {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
