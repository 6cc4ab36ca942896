package org.basilport.bench.policy;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares the policies on the same arrivals. */
@Command(
    name = "policy",
    mixinStandardHelpOptions = true,
    description = "Compares generation policies against engine models on a virtual clock.")
public final class PolicyBenchmarkCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--seeds", defaultValue = "10", description = "Number of seeds.")
  private int seeds;

  @Option(names = "--first-seed", defaultValue = "1", description = "First seed.")
  private long firstSeed;

  @Option(
      names = "--seconds",
      defaultValue = "1200",
      description = "Virtual time of a run; a quarter of it is warm-up.")
  private int seconds;

  @Option(names = "--threads", defaultValue = "4", description = "Runs at a time.")
  private int threads;

  @Option(names = "--workload", description = "Workloads to run; all by default.")
  private List<String> workloads;

  @Option(names = "--deployment", description = "Deployments to run; all by default.")
  private List<String> deployments;

  @Option(names = "--candidate", description = "Policies to run: ${COMPLETION-CANDIDATES}.")
  private List<Candidate> candidates;

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
    return 0;
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
