package org.basilport.policy;

import java.util.SplittableRandom;
import org.basilport.policy.length.HierarchicalLengthEstimator;

/** Creates the shipped policy. */
public final class AdaptiveGenerationPolicyFactory implements GenerationPolicyFactory {
  private static final int HISTOGRAM_LIMIT = 16_000;

  @Override
  public GenerationPolicy create(PolicySettings settings, SplittableRandom random) {
    return new AdaptiveGenerationPolicy(
        settings, new HierarchicalLengthEstimator(HISTOGRAM_LIMIT), random);
  }
}
