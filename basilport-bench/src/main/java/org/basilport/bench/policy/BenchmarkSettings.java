package org.basilport.bench.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.basilport.policy.PolicySettings;

/**
 * Settings of the benchmark.
 *
 * @param engine assumptions about the engines
 * @param duration virtual time of a run
 * @param warmUp part of the run before anything is measured
 * @param seeds number of seeds
 * @param firstSeed first seed; the others follow
 * @param threads number of runs at a time
 */
public record BenchmarkSettings(
    EngineSettings engine,
    Duration duration,
    Duration warmUp,
    int seeds,
    long firstSeed,
    int threads) {
  private static final int QUEUE_LIMIT = 1_000;
  private static final double RISK = 0.05;

  /** Returns the settings of a full benchmark. */
  public static BenchmarkSettings standard() {
    return new BenchmarkSettings(
        EngineSettings.standard(), Duration.ofSeconds(1_200), Duration.ofSeconds(300), 10, 1, 4);
  }

  PolicySettings policySettings(Deployment deployment) {
    Map<String, Double> weights = new HashMap<>();
    double[] traffic = ArrivalGenerator.weights();
    for (int i = 0; i < traffic.length; i++) {
      weights.put("w" + i, traffic[i]);
    }
    boolean stalls = deployment == Deployment.GEO_LLM;
    return new PolicySettings(
        deployment.service(),
        deployment.service(),
        QUEUE_LIMIT,
        RISK,
        stalls ? 1 : 0.2,
        stalls ? 1 : 0.2,
        stalls ? 0.2 : 1,
        weights);
  }
}
