package org.basilport.bench.policy;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of the adaptive policy's decisions for several fleet sizes. */
@Command(
    name = "policy-cost",
    mixinStandardHelpOptions = true,
    description = "Measures processor time and allocation per policy decision.")
public final class PolicyCostCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--replicas",
      split = ",",
      defaultValue = "8,75,150,300,600",
      description = "Numbers of replicas.")
  private List<Integer> replicas;

  @Option(
      names = "--workspaces",
      split = ",",
      defaultValue = "10,4900",
      description = "Numbers of workspaces.")
  private List<Integer> workspaces;

  @Option(names = "--decisions", defaultValue = "20000", description = "Decisions per round.")
  private int decisions;

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    out.printf(
        Locale.ROOT, "%-10s%-12s%-26s%12s%14s%n", "replicas", "workspaces", "call", "us", "bytes");
    for (int workspaceCount : workspaces) {
      for (int replicaCount : replicas) {
        DecisionCost cost = new DecisionCost(replicaCount, workspaceCount);
        for (DecisionCost.Cost operation : cost.measure(decisions)) {
          out.printf(
              Locale.ROOT,
              "%-10d%-12d%-26s%12.2f%14.0f%n",
              replicaCount,
              workspaceCount,
              operation.name(),
              operation.micros(),
              operation.bytes());
        }
      }
    }
    out.flush();
    return 0;
  }
}
