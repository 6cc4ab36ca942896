package org.basilport.bench.policy;

import java.util.SplittableRandom;
import org.basilport.policy.GenerationClass;

/**
 * Requests of one kind; lengths are log-normal.
 *
 * @param name name of the route
 * @param generationClass class of its generations
 * @param share share of the requests
 * @param medianPrompt median length of the prompt, in tokens
 * @param promptSigma standard deviation of the logarithm of the prompt length
 * @param medianLength median length of the output, in tokens
 * @param lengthSigma standard deviation of the logarithm of the output length
 * @param maxTokens largest output, in tokens
 * @param prefixTokens shared leading part of the prompt, in tokens
 */
record Route(
    String name,
    GenerationClass generationClass,
    double share,
    double medianPrompt,
    double promptSigma,
    double medianLength,
    double lengthSigma,
    long maxTokens,
    long prefixTokens) {
  private static final long LARGEST_PROMPT = 12_000;

  long prompt(SplittableRandom random) {
    double drawn = medianPrompt * Math.exp(promptSigma * gaussian(random));
    return prefixTokens + Math.min(LARGEST_PROMPT, Math.max(1, Math.round(drawn)));
  }

  long length(SplittableRandom random, double scale) {
    double drawn = scale * medianLength * Math.exp(lengthSigma * gaussian(random));
    return Math.min(maxTokens, Math.max(1, Math.round(drawn)));
  }

  private static double gaussian(SplittableRandom random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
