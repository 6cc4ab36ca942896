package org.basilport.bench.policy;

import java.util.ArrayList;
import java.util.List;

/** Compares results with the targets of docs/design.md, section 4.12. */
public final class TargetCheck {
  private static final double STALL = 0.4;
  private static final double PREEMPTIONS = 0.2;
  private static final double GAP_P99 = 0.6;
  private static final double GOODPUT = 0.98;
  private static final double ORACLE = 1.25;
  private static final double GREEDY_COST = 0.1;
  private static final double WORSE = 1.02;
  private static final double GAIN_COST = 0.2;

  private static final List<Measure> AT_LOW_LOAD =
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

  /** Creates a check of results; targets whose workloads did not run are left out. */
  public TargetCheck(BenchmarkResult result) {
    this.result = result;
  }

  /** Returns the targets with their measured values. */
  public List<Target> check() {
    targets.clear();
    for (Deployment deployment : Deployment.values()) {
      full(deployment, "load-1.0");
      full(deployment, "load-1.3");
      low(deployment);
      greedy(deployment);
      gain(deployment, "lag-5s");
      gain(deployment, "lost-events");
    }
    return List.copyOf(targets);
  }

  private void full(Deployment deployment, String workload) {
    if (!ran(deployment, workload, Candidate.LEAST_OUTSTANDING)) {
      return;
    }
    toBaseline(deployment, workload, Measure.STALL, STALL);
    toBaseline(deployment, workload, Measure.PREEMPTIONS, PREEMPTIONS);
    toBaseline(deployment, workload, Measure.GAP_P99, GAP_P99);
    toBaseline(deployment, workload, Measure.GOODPUT, GOODPUT);
    if (ran(deployment, workload, Candidate.ORACLE)) {
      Measure weighted = deployment == Deployment.GEO_LLM ? Measure.STALL : Measure.PREEMPTIONS;
      double ratio =
          result.ratio(deployment, workload, Candidate.ADAPTIVE, Candidate.ORACLE, weighted);
      add(deployment, workload, weighted.title() + " / oracle", ratio, ORACLE, false);
    }
  }

  private void low(Deployment deployment) {
    if (!ran(deployment, "load-0.7", Candidate.LEAST_OUTSTANDING)) {
      return;
    }
    for (Measure measure : AT_LOW_LOAD) {
      toBaseline(deployment, "load-0.7", measure, measure.moreIsBetter() ? 1 / WORSE : WORSE);
    }
  }

  private void greedy(Deployment deployment) {
    if (!ran(deployment, "greedy", Candidate.ADAPTIVE)
        || !ran(deployment, "moderate", Candidate.ADAPTIVE)) {
      return;
    }
    double with =
        result.spread(deployment, "greedy", Candidate.ADAPTIVE, Measure.OTHERS_GOODPUT).mean();
    double without =
        result.spread(deployment, "moderate", Candidate.ADAPTIVE, Measure.OTHERS_GOODPUT).mean();
    add(deployment, "greedy", "cost to others", 1 - with / without, GREEDY_COST, false);
  }

  /** Checks which part of the gain in stall time and preemptions a fault costs. */
  private void gain(Deployment deployment, String workload) {
    if (!ran(deployment, workload, Candidate.ADAPTIVE)
        || !ran(deployment, "load-1.0", Candidate.LEAST_OUTSTANDING)) {
      return;
    }
    for (Measure measure : List.of(Measure.STALL, Measure.PREEMPTIONS)) {
      double baseline =
          result.spread(deployment, "load-1.0", Candidate.LEAST_OUTSTANDING, measure).mean();
      double usual = result.spread(deployment, "load-1.0", Candidate.ADAPTIVE, measure).mean();
      double fault = result.spread(deployment, workload, Candidate.ADAPTIVE, measure).mean();
      double cost = (fault - usual) / (baseline - usual);
      add(deployment, workload, measure.title() + " gain lost", cost, GAIN_COST, false);
    }
  }

  private void toBaseline(Deployment deployment, String workload, Measure measure, double bound) {
    double ratio =
        result.ratio(
            deployment, workload, Candidate.ADAPTIVE, Candidate.LEAST_OUTSTANDING, measure);
    String name = measure.title() + " / least outstanding";
    add(deployment, workload, name, ratio, bound, measure.moreIsBetter());
  }

  private void add(
      Deployment deployment,
      String workload,
      String name,
      double value,
      double bound,
      boolean atLeast) {
    String fullName = deployment.service() + " " + workload + ": " + name;
    targets.add(new Target(fullName, value, bound, atLeast));
  }

  private boolean ran(Deployment deployment, String workload, Candidate candidate) {
    return result.runs().stream()
        .anyMatch(
            run ->
                run.deployment() == deployment
                    && run.workload().name().equals(workload)
                    && run.candidate() == candidate);
  }
}
