package org.basilport.policy;

import java.util.SplittableRandom;

/** Creates the policies of model services. */
@FunctionalInterface
public interface GenerationPolicyFactory {

  /** Creates a policy for a model service, with a seeded random source. */
  GenerationPolicy create(PolicySettings settings, SplittableRandom random);
}
