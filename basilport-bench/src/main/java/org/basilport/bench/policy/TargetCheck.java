package org.basilport.bench.policy;

import java.util.ArrayList;
import java.util.List;

/** Compares benchmark results with the performance targets of docs/design.md, section 4.12. */
public final class TargetCheck {
  private static final double MAX_STALL_RATIO = 0.4;
  private static final double MAX_PREEMPTION_RATIO = 0.2;
  private static final double MAX_GAP_P99_RATIO = 0.6;
  private static final double MIN_GOODPUT_RATIO = 0.98;
  private static final double MAX_ORACLE_RATIO = 1.25;
  private static final double MAX_GREEDY_COST = 0.1;
  private static final double LOW_LOAD_TOLERANCE = 1.02;
  private static final double MAX_GAIN_LOSS = 0.2;

  private static final List<Measure> LOW_LOAD_MEASURES =
      List.of(
          Measure.STALL,
          Measure.PREEMPTIONS,
          Measure.GAP_P95,
          Measure.GAP_P99,
          Measure.GAP_P999,
          Measure.FIRST_P50,
          Measure.FIRST_P95,
          Measure.GOODPUT);

  private final BenchmarkResult result;
  private final List<Target> targets = new ArrayList<>();

  /** Creates a check of results; targets whose workloads were not run are omitted. */
  public TargetCheck(BenchmarkResult result) {
    this.result = result;
  }

  /** Returns the targets with their measured values. */
  public List<Target> check() {
    targets.clear();
    for (Deployment deployment : Deployment.values()) {
      checkFullLoad(deployment, "load-1.0");
      checkFullLoad(deployment, "load-1.3");
      checkLowLoad(deployment);
      checkGreedyWorkload(deployment);
      checkGainUnderFault(deployment, "lag-5s");
      checkGainUnderFault(deployment, "lost-events");
    }
    return List.copyOf(targets);
  }

  private void checkFullLoad(Deployment deployment, String workload) {
    if (!hasRun(deployment, workload, Candidate.LEAST_OUTSTANDING)) {
      return;
    }
    compareToBaseline(deployment, workload, Measure.STALL, MAX_STALL_RATIO);
    compareToBaseline(deployment, workload, Measure.PREEMPTIONS, MAX_PREEMPTION_RATIO);
    compareToBaseline(deployment, workload, Measure.GAP_P99, MAX_GAP_P99_RATIO);
    compareToBaseline(deployment, workload, Measure.GOODPUT, MIN_GOODPUT_RATIO);
    if (hasRun(deployment, workload, Candidate.ORACLE)) {
      Measure weighted = deployment == Deployment.GEO_LLM ? Measure.STALL : Measure.PREEMPTIONS;
      double ratio =
          result.ratio(deployment, workload, Candidate.ADAPTIVE, Candidate.ORACLE, weighted);
      addTarget(
          deployment, workload, weighted.title() + " / oracle", ratio, MAX_ORACLE_RATIO, false);
    }
  }

  private void checkLowLoad(Deployment deployment) {
    if (!hasRun(deployment, "load-0.7", Candidate.LEAST_OUTSTANDING)) {
      return;
    }
    for (Measure measure : LOW_LOAD_MEASURES) {
      compareToBaseline(
          deployment,
          "load-0.7",
          measure,
          measure.moreIsBetter() ? 1 / LOW_LOAD_TOLERANCE : LOW_LOAD_TOLERANCE);
    }
  }

  private void checkGreedyWorkload(Deployment deployment) {
    if (!hasRun(deployment, "greedy", Candidate.ADAPTIVE)
        || !hasRun(deployment, "moderate", Candidate.ADAPTIVE)) {
      return;
    }
    double with =
        result.spread(deployment, "greedy", Candidate.ADAPTIVE, Measure.OTHERS_GOODPUT).mean();
    double without =
        result.spread(deployment, "moderate", Candidate.ADAPTIVE, Measure.OTHERS_GOODPUT).mean();
    addTarget(deployment, "greedy", "cost to others", 1 - with / without, MAX_GREEDY_COST, false);
  }

  /**
   * Checks how much of the policy's gain over the baseline, in stall time and preemptions, is lost
   * under a fault.
   */
  private void checkGainUnderFault(Deployment deployment, String workload) {
    if (!hasRun(deployment, workload, Candidate.ADAPTIVE)
        || !hasRun(deployment, "load-1.0", Candidate.LEAST_OUTSTANDING)) {
      return;
    }
    for (Measure measure : List.of(Measure.STALL, Measure.PREEMPTIONS)) {
      double baseline =
          result.spread(deployment, "load-1.0", Candidate.LEAST_OUTSTANDING, measure).mean();
      double usual = result.spread(deployment, "load-1.0", Candidate.ADAPTIVE, measure).mean();
      double fault = result.spread(deployment, workload, Candidate.ADAPTIVE, measure).mean();
      double cost = (fault - usual) / (baseline - usual);
      addTarget(deployment, workload, measure.title() + " gain lost", cost, MAX_GAIN_LOSS, false);
    }
  }

  private void compareToBaseline(
      Deployment deployment, String workload, Measure measure, double bound) {
    double ratio =
        result.ratio(
            deployment, workload, Candidate.ADAPTIVE, Candidate.LEAST_OUTSTANDING, measure);
    String name = measure.title() + " / least outstanding";
    addTarget(deployment, workload, name, ratio, bound, measure.moreIsBetter());
  }

  private void addTarget(
      Deployment deployment,
      String workload,
      String name,
      double value,
      double bound,
      boolean atLeast) {
    String fullName = deployment.service() + " " + workload + ": " + name;
    targets.add(new Target(fullName, value, bound, atLeast));
  }

  private boolean hasRun(Deployment deployment, String workload, Candidate candidate) {
    return result.runs().stream()
        .anyMatch(
            run ->
                run.deployment() == deployment
                    && run.workload().name().equals(workload)
                    && run.candidate() == candidate);
  }
}
