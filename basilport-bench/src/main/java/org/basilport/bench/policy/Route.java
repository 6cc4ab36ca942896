package org.basilport.bench.policy;

import java.util.SplittableRandom;
import org.basilport.policy.GenerationClass;

/**
 * A route with its share of the traffic; prompt and output lengths are log-normal.
 *
 * @param name name of the route
 * @param generationClass class of its generations
 * @param share fraction of the requests, 0 to 1
 * @param medianPromptTokens median length of the prompt without the shared prefix, in tokens
 * @param promptSigma standard deviation of the logarithm of the prompt length
 * @param medianOutputTokens median length of the output, in tokens
 * @param outputSigma standard deviation of the logarithm of the output length
 * @param maxTokens limit of the output length, in tokens
 * @param prefixTokens length of the shared prompt prefix, in tokens
 */
record Route(
    String name,
    GenerationClass generationClass,
    double share,
    double medianPromptTokens,
    double promptSigma,
    double medianOutputTokens,
    double outputSigma,
    long maxTokens,
    long prefixTokens) {
  private static final long MAX_PROMPT_TOKENS = 12_000;

  long samplePromptTokens(SplittableRandom random) {
    double sampled = medianPromptTokens * Math.exp(promptSigma * gaussian(random));
    return prefixTokens + Math.min(MAX_PROMPT_TOKENS, Math.max(1, Math.round(sampled)));
  }

  long sampleOutputTokens(SplittableRandom random, double factor) {
    double sampled = factor * medianOutputTokens * Math.exp(outputSigma * gaussian(random));
    return Math.min(maxTokens, Math.max(1, Math.round(sampled)));
  }

  private static double gaussian(SplittableRandom random) {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
