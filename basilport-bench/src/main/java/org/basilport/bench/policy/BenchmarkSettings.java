package org.basilport.bench.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.basilport.policy.PolicySettings;

/**
 * Settings of the policy benchmark.
 *
 * @param engine parameters of the engine model
 * @param duration virtual duration of a run, including the warm-up
 * @param warmUp initial part of a run that is not measured
 * @param seeds number of runs of each workload, each with its own seed
 * @param firstSeed first seed; the others are consecutive
 * @param threads number of threads that execute runs
 */
public record BenchmarkSettings(
    EngineSettings engine,
    Duration duration,
    Duration warmUp,
    int seeds,
    long firstSeed,
    int threads) {
  private static final int QUEUE_LIMIT = 1_000;
  private static final double ADMISSION_RISK = 0.05;

  /** Returns the settings of a full benchmark: 10 seeds of 20 minutes, 5 of them warm-up. */
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
    boolean stallSensitive = deployment == Deployment.GEO_LLM;
    return new PolicySettings(
        deployment.service(),
        deployment.service(),
        QUEUE_LIMIT,
        ADMISSION_RISK,
        stallSensitive ? 1 : 0.2,
        stallSensitive ? 1 : 0.2,
        stallSensitive ? 0.2 : 1,
        weights);
  }
}
