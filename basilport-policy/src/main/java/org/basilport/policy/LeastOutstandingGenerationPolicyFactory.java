package org.basilport.policy;

import java.util.SplittableRandom;
import org.basilport.policy.routing.LeastOutstandingSelector;

/** Creates the baseline that selects the replica with the fewest outstanding generations. */
public final class LeastOutstandingGenerationPolicyFactory implements GenerationPolicyFactory {

  @Override
  public GenerationPolicy create(PolicySettings settings, SplittableRandom random) {
    return new DirectGenerationPolicy(new LeastOutstandingSelector(random), settings.queueLimit());
  }
}
