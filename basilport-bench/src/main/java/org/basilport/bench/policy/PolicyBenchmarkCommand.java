package org.basilport.bench.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares generation policies in simulation; exit code 1 when a checked target is missed. */
@Command(
    name = "policy",
    mixinStandardHelpOptions = true,
    description = "Compares generation policies with simulated engines on a virtual clock.")
public final class PolicyBenchmarkCommand implements Callable<Integer> {
  private static final int CHECK_FAILED = 1;

  @Spec private CommandSpec spec;

  @Option(names = "--seeds", defaultValue = "10", description = "Number of seeds.")
  private int seeds;

  @Option(names = "--first-seed", defaultValue = "1", description = "First seed.")
  private long firstSeed;

  @Option(
      names = "--seconds",
      defaultValue = "1200",
      description = "Virtual duration of a run in seconds; the first quarter is warm-up.")
  private int seconds;

  @Option(names = "--threads", defaultValue = "4", description = "Concurrent runs.")
  private int threads;

  @Option(names = "--workload", description = "Workloads to run (default: all).")
  private List<String> workloads;

  @Option(names = "--deployment", description = "Deployments to run (default: all).")
  private List<String> deployments;

  @Option(names = "--candidate", description = "Policies to run: ${COMPLETION-CANDIDATES}.")
  private List<Candidate> candidates;

  @Option(names = "--json", description = "Write the measures of each run as JSON to this file.")
  private Path json;

  @Option(names = "--html", description = "Write an HTML report with plots to this file.")
  private Path html;

  @Option(names = "--check", description = "Exit with code 1 when a target is missed.")
  private boolean check;

  @Override
  public Integer call() throws IOException {
    BenchmarkSettings settings =
        new BenchmarkSettings(
            EngineSettings.standard(),
            Duration.ofSeconds(seconds),
            Duration.ofSeconds(seconds / 4),
            seeds,
            firstSeed,
            threads);
    BenchmarkResult result =
        new PolicyBenchmark(settings)
            .run(selectedDeployments(), selectedWorkloads(), selectedCandidates());
    spec.commandLine().getOut().print(new TextReport().render(result));
    spec.commandLine().getOut().flush();
    if (json != null) {
      Files.writeString(json, new JsonReport().render(result));
    }
    if (html != null) {
      Files.writeString(html, new HtmlReport().render(result));
    }
    boolean met = new TargetCheck(result).check().stream().allMatch(Target::met);
    return check && !met ? CHECK_FAILED : 0;
  }

  private List<Candidate> selectedCandidates() {
    return candidates == null ? List.of(Candidate.values()) : candidates;
  }

  private List<Deployment> selectedDeployments() {
    return Arrays.stream(Deployment.values())
        .filter(deployment -> deployments == null || deployments.contains(deployment.service()))
        .collect(Collectors.toList());
  }

  private List<Workload> selectedWorkloads() {
    return PolicyBenchmark.workloads().stream()
        .filter(workload -> workloads == null || workloads.contains(workload.name()))
        .collect(Collectors.toList());
  }
}
