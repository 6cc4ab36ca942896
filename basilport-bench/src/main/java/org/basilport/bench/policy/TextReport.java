package org.basilport.bench.policy;

import java.util.List;
import java.util.Locale;

/** Renders results as plain-text tables. */
final class TextReport {
  private static final List<Measure> COLUMNS =
      List.of(
          Measure.STALL,
          Measure.PREEMPTIONS,
          Measure.GAP_P95,
          Measure.GAP_P99,
          Measure.GAP_P999,
          Measure.FIRST_P50,
          Measure.FIRST_P95,
          Measure.GOODPUT,
          Measure.MEMORY,
          Measure.FAIRNESS_GAP,
          Measure.INSTANCE_FAIRNESS_GAP,
          Measure.OTHERS_GOODPUT,
          Measure.REFUSED,
          Measure.MOST_PREEMPTIONS,
          Measure.LOST);

  String render(BenchmarkResult result) {
    StringBuilder text = new StringBuilder();
    for (Deployment deployment : Deployment.values()) {
      result.runs().stream()
          .filter(run -> run.deployment() == deployment)
          .map(run -> run.workload().name())
          .distinct()
          .forEach(workload -> appendTable(text, result, deployment, workload));
    }
    for (Target target : new TargetCheck(result).check()) {
      text.append(
          String.format(
              Locale.ROOT,
              "%-8s%-60s%10.3f %s %.3f%n",
              target.met() ? "met" : "MISSED",
              target.name(),
              target.value(),
              target.atLeast() ? ">=" : "<=",
              target.bound()));
    }
    return text.toString();
  }

  private static void appendTable(
      StringBuilder text, BenchmarkResult result, Deployment deployment, String workload) {
    text.append(
        String.format(
            Locale.ROOT,
            "%n%s %s, %d seeds%n",
            deployment.service(),
            workload,
            result.settings().seeds()));
    text.append(String.format(Locale.ROOT, "%-20s", "mean [min..max]"));
    for (Candidate candidate : result.candidates()) {
      text.append(String.format(Locale.ROOT, "%34s", candidate.title()));
    }
    text.append(String.format(Locale.ROOT, "%12s%12s%n", "/least out.", "/oracle"));
    for (Measure measure : COLUMNS) {
      text.append(String.format(Locale.ROOT, "%-20s", measure.title()));
      for (Candidate candidate : result.candidates()) {
        BenchmarkResult.Spread spread = result.spread(deployment, workload, candidate, measure);
        text.append(
            String.format(
                Locale.ROOT,
                "%34s",
                String.format(
                    Locale.ROOT, "%.2f [%.2f..%.2f]", spread.mean(), spread.min(), spread.max())));
      }
      text.append(
          String.format(
              Locale.ROOT,
              "%12.3f%12.3f%n",
              result.ratio(
                  deployment, workload, Candidate.ADAPTIVE, Candidate.LEAST_OUTSTANDING, measure),
              result.ratio(deployment, workload, Candidate.ADAPTIVE, Candidate.ORACLE, measure)));
    }
  }
}
