package org.basilport.policy;

import java.util.SplittableRandom;
import org.basilport.policy.length.HierarchicalLengthEstimator;

/** Creates {@link AdaptiveGenerationPolicy}, the default policy. */
public final class AdaptiveGenerationPolicyFactory implements GenerationPolicyFactory {
  /** Largest number of histograms per policy, at about 1.5 KB each. */
  private static final int MAX_HISTOGRAMS = 16_000;

  @Override
  public GenerationPolicy create(PolicySettings settings, SplittableRandom random) {
    return new AdaptiveGenerationPolicy(
        settings, new HierarchicalLengthEstimator(MAX_HISTOGRAMS), random);
  }
}
