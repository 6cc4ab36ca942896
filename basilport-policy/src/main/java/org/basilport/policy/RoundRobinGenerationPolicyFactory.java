package org.basilport.policy;

import java.util.SplittableRandom;
import org.basilport.policy.routing.RoundRobinSelector;

/** Creates the baseline that selects replicas in rotation, without admission control. */
public final class RoundRobinGenerationPolicyFactory implements GenerationPolicyFactory {
  private static final int FIRST_POSITION_BOUND = 1 << 16;

  @Override
  public GenerationPolicy create(PolicySettings settings, SplittableRandom random) {
    return new DirectGenerationPolicy(
        new RoundRobinSelector(random.nextInt(FIRST_POSITION_BOUND)), settings.queueLimit());
  }
}
