package org.basilport.bench.policy;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** Results of a benchmark. */
public final class BenchmarkResult {
  private final BenchmarkSettings settings;
  private final List<Run> runs;

  BenchmarkResult(BenchmarkSettings settings, List<Run> runs) {
    this.settings = settings;
    this.runs = List.copyOf(runs);
  }

  /** Returns the settings. */
  public BenchmarkSettings settings() {
    return settings;
  }

  /** Returns all runs. */
  public List<Run> runs() {
    return runs;
  }

  /** Returns the policies that ran, in order. */
  public List<Candidate> candidates() {
    return runs.stream().map(Run::candidate).distinct().sorted().collect(Collectors.toList());
  }

  /** Returns a measure over the seeds. */
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
   * Returns the ratio of the means over the seeds of two policies; 1 when both are 0.
   *
   * <p>Means are compared rather than single seeds, because a rare event such as a preemption is
   * absent in some seeds and a ratio to 0 has no value.
   */
  public double ratio(
      Deployment deployment, String workload, Candidate of, Candidate to, Measure measure) {
    double numerator = spread(deployment, workload, of, measure).mean();
    double denominator = spread(deployment, workload, to, measure).mean();
    if (denominator == 0) {
      return numerator == 0 ? 1 : Double.POSITIVE_INFINITY;
    }
    return numerator / denominator;
  }

  /**
   * A measure over several seeds.
   *
   * @param mean mean
   * @param smallest smallest value
   * @param largest largest value
   */
  public record Spread(double mean, double smallest, double largest) {
    static Spread of(double[] values) {
      return new Spread(
          Arrays.stream(values).average().orElse(0),
          Arrays.stream(values).min().orElse(0),
          Arrays.stream(values).max().orElse(0));
    }
  }
}
