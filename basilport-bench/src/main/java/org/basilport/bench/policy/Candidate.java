package org.basilport.bench.policy;

import java.util.List;
import org.basilport.policy.AdaptiveGenerationPolicy;
import org.basilport.policy.AdaptiveGenerationPolicyFactory;
import org.basilport.policy.GenerationPolicyFactory;
import org.basilport.policy.LeastOutstandingGenerationPolicyFactory;
import org.basilport.policy.RoundRobinGenerationPolicyFactory;

/** A generation policy under comparison. */
public enum Candidate {
  /** Round robin over the replicas, without admission control. */
  ROUND_ROBIN("round robin"),
  /** The replica with the fewest outstanding generations, without admission control. */
  LEAST_OUTSTANDING("least outstanding"),
  /** The policy that the router uses. */
  ADAPTIVE("adaptive"),
  /** The policy that the router uses, with exact output lengths: the bound for estimators. */
  ORACLE("oracle");

  private final String title;

  Candidate(String title) {
    this.title = title;
  }

  /** Returns the name in reports. */
  public String title() {
    return title;
  }

  GenerationPolicyFactory factory(List<Arrival> arrivals) {
    return switch (this) {
      case ROUND_ROBIN -> new RoundRobinGenerationPolicyFactory();
      case LEAST_OUTSTANDING -> new LeastOutstandingGenerationPolicyFactory();
      case ADAPTIVE -> new AdaptiveGenerationPolicyFactory();
      case ORACLE -> {
        OracleLengthEstimator oracle = new OracleLengthEstimator(arrivals);
        yield (settings, random) -> new AdaptiveGenerationPolicy(settings, oracle, random);
      }
    };
  }
}
