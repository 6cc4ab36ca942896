package org.basilport.bench.policy;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** Results of all runs of a benchmark. */
public final class BenchmarkResult {
  private final BenchmarkSettings settings;
  private final List<BenchmarkRun> runs;

  BenchmarkResult(BenchmarkSettings settings, List<BenchmarkRun> runs) {
    this.settings = settings;
    this.runs = List.copyOf(runs);
  }

  public BenchmarkSettings settings() {
    return settings;
  }

  public List<BenchmarkRun> runs() {
    return runs;
  }

  /** Returns the policies that were run, in the order of their declaration. */
  public List<Candidate> candidates() {
    return runs.stream()
        .map(BenchmarkRun::candidate)
        .distinct()
        .sorted()
        .collect(Collectors.toList());
  }

  /** Returns mean, minimum and maximum of a measure over the seeds. */
  public Spread spread(
      Deployment deployment, String workload, Candidate candidate, Measure measure) {
    return Spread.of(
        runs.stream()
            .filter(run -> run.deployment() == deployment && run.candidate() == candidate)
            .filter(run -> run.workload().name().equals(workload))
            .mapToDouble(run -> run.result().value(measure))
            .toArray());
  }

  /**
   * Returns the ratio of two policies' means over the seeds; 1 when both are 0, infinite when only
   * the denominator is 0.
   *
   * <p>Means are compared instead of single seeds, because a rare event such as a preemption does
   * not occur with every seed, and a ratio to 0 is undefined.
   */
  public double ratio(
      Deployment deployment,
      String workload,
      Candidate numeratorCandidate,
      Candidate denominatorCandidate,
      Measure measure) {
    double numerator = spread(deployment, workload, numeratorCandidate, measure).mean();
    double denominator = spread(deployment, workload, denominatorCandidate, measure).mean();
    if (denominator == 0) {
      return numerator == 0 ? 1 : Double.POSITIVE_INFINITY;
    }
    return numerator / denominator;
  }

  /**
   * Distribution of a measure over the seeds.
   *
   * @param mean arithmetic mean, 0 without values
   * @param min smallest value, 0 without values
   * @param max maximum value, 0 without values
   */
  public record Spread(double mean, double min, double max) {
    static Spread of(double[] values) {
      return new Spread(
          Arrays.stream(values).average().orElse(0),
          Arrays.stream(values).min().orElse(0),
          Arrays.stream(values).max().orElse(0));
    }
  }
}
