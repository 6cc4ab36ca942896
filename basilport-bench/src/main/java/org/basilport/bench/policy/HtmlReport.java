package org.basilport.bench.policy;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Renders results as a self-contained HTML page with inline SVG plots. */
final class HtmlReport {
  private static final int PLOT_WIDTH = 640;
  private static final int ROW_HEIGHT = 22;
  private static final int LABEL_WIDTH = 150;
  private static final int VALUE_WIDTH = 110;

  private static final List<Measure> PLOTTED_MEASURES =
      List.of(
          Measure.STALL,
          Measure.PREEMPTIONS,
          Measure.GAP_P99,
          Measure.FIRST_P95,
          Measure.GOODPUT,
          Measure.MEMORY);

  String render(BenchmarkResult result) {
    StringBuilder html = new StringBuilder();
    html.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
        .append("<title>Policy benchmark</title><style>")
        .append("body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}")
        .append("td,th{padding:2px 8px;border-bottom:1px solid #ccc;text-align:left}")
        .append(".missed{color:#b00020}</style></head><body>\n<h1>Policy benchmark</h1>\n");
    html.append(
        String.format(
            Locale.ROOT,
            "<p>%d seeds from %d, %d s with %d s of warm-up; %s</p>%n",
            result.settings().seeds(),
            result.settings().firstSeed(),
            result.settings().duration().toSeconds(),
            result.settings().warmUp().toSeconds(),
            result.settings().engine()));
    appendTargets(html, result);
    for (Deployment deployment : Deployment.values()) {
      List<String> workloads =
          result.runs().stream()
              .filter(run -> run.deployment() == deployment)
              .map(run -> run.workload().name())
              .distinct()
              .collect(Collectors.toList());
      for (String workload : workloads) {
        html.append("<h2>")
            .append(deployment.service())
            .append(' ')
            .append(workload)
            .append("</h2>\n");
        PLOTTED_MEASURES.forEach(
            measure -> appendPlot(html, result, deployment, workload, measure));
      }
    }
    return html.append("</body></html>\n").toString();
  }

  private static void appendTargets(StringBuilder html, BenchmarkResult result) {
    html.append("<h2>Targets</h2><table><tr><th>target</th><th>value</th><th>bound</th>")
        .append("<th>met</th></tr>\n");
    for (Target target : new TargetCheck(result).check()) {
      html.append(
          String.format(
              Locale.ROOT,
              "<tr%s><td>%s</td><td>%.3f</td><td>%s %.3f</td><td>%s</td></tr>%n",
              target.met() ? "" : " class=\"missed\"",
              target.name(),
              target.value(),
              target.atLeast() ? "at least" : "at most",
              target.bound(),
              target.met() ? "yes" : "no"));
    }
    html.append("</table>\n");
  }

  /** Appends a bar chart of the means by policy, with a line from the minimum to the maximum. */
  private static void appendPlot(
      StringBuilder html,
      BenchmarkResult result,
      Deployment deployment,
      String workload,
      Measure measure) {
    List<Candidate> candidates = result.candidates();
    double largest =
        candidates.stream()
            .mapToDouble(c -> result.spread(deployment, workload, c, measure).max())
            .max()
            .orElse(0);
    double scale = largest == 0 ? 0 : (PLOT_WIDTH - LABEL_WIDTH - VALUE_WIDTH) / largest;
    html.append(
        String.format(
            Locale.ROOT,
            "<h3>%s %s</h3><svg width=\"%d\" height=\"%d\" font-size=\"12\">%n",
            measure.title(),
            measure.unit(),
            PLOT_WIDTH,
            ROW_HEIGHT * candidates.size()));
    for (int i = 0; i < candidates.size(); i++) {
      Candidate candidate = candidates.get(i);
      BenchmarkResult.Spread spread = result.spread(deployment, workload, candidate, measure);
      int top = i * ROW_HEIGHT;
      double end = LABEL_WIDTH + scale * spread.mean();
      html.append(
          String.format(
              Locale.ROOT,
              "<text x=\"0\" y=\"%d\">%s</text>"
                  + "<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"14\" fill=\"%s\"/>"
                  + "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%d\" y2=\"%d\" stroke=\"#222\"/>"
                  + "<text x=\"%.1f\" y=\"%d\">%.2f</text>%n",
              top + 14,
              candidate.title(),
              LABEL_WIDTH,
              top + 3,
              scale * spread.mean(),
              colour(candidate),
              LABEL_WIDTH + scale * spread.min(),
              LABEL_WIDTH + scale * spread.max(),
              top + 10,
              top + 10,
              Math.max(end, LABEL_WIDTH + scale * spread.max()) + 6,
              top + 14,
              spread.mean()));
    }
    html.append("</svg>\n");
  }

  private static String colour(Candidate candidate) {
    return switch (candidate) {
      case ROUND_ROBIN -> "#bbbbbb";
      case LEAST_OUTSTANDING -> "#8899bb";
      case ADAPTIVE -> "#2a7f62";
      case ORACLE -> "#d9a441";
    };
  }
}
