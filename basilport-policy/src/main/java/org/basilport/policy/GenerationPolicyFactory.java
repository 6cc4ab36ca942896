package org.basilport.policy;

import java.util.SplittableRandom;

/** Creates the policy of a model service. */
@FunctionalInterface
public interface GenerationPolicyFactory {

  /** Creates a policy with the settings of a service and a seeded random source. */
  GenerationPolicy create(PolicySettings settings, SplittableRandom random);
}
