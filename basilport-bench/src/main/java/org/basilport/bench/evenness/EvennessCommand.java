package org.basilport.bench.evenness;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares how evenly selectors with load data of several ages distribute requests. */
@Command(
    name = "evenness",
    mixinStandardHelpOptions = true,
    description = "Compares selectors with old load data in simulation, and the cost of a choice.")
public final class EvennessCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(
      names = "--instances",
      split = ",",
      defaultValue = "10,30,100,300",
      description = "Numbers of instances (default: ${DEFAULT-VALUE}).")
  private List<Integer> instances;

  @Option(
      names = "--ages-ms",
      split = ",",
      defaultValue = "0,500,1000,2000",
      description = "Mean ages of the load data in ms (default: ${DEFAULT-VALUE}).")
  private List<Integer> agesMillis;

  @Option(
      names = "--kind",
      split = ",",
      description = "Kinds of servers: ${COMPLETION-CANDIDATES}.")
  private List<ServerKind> kinds;

  @Option(names = "--variant", split = ",", description = "Selectors: ${COMPLETION-CANDIDATES}.")
  private List<Variant> variants;

  @Option(names = "--seed", defaultValue = "1", description = "First seed.")
  private long seed;

  @Option(names = "--seeds", defaultValue = "2", description = "Number of seeds.")
  private int seeds;

  @Option(names = "--seconds", defaultValue = "20", description = "Virtual duration of a run.")
  private int seconds;

  @Option(
      names = "--cost-servers",
      defaultValue = "300",
      description = "Number of servers for the cost of a choice; 0 measures none.")
  private int costServers;

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    out.printf(
        Locale.ROOT,
        "%-12s%10s%8s  %-22s%9s%10s%10s%10s%10s%n",
        "kind",
        "instances",
        "age ms",
        "selector",
        "uneven%",
        "max/mean",
        "wait ms",
        "p99 ms",
        "resp ms");
    for (ServerKind kind : kinds == null ? List.of(ServerKind.values()) : kinds) {
      for (int count : instances) {
        for (int age : agesMillis) {
          for (Variant variant : variants == null ? List.of(Variant.values()) : variants) {
            print(out, kind, count, age, variant);
          }
        }
      }
    }
    if (costServers > 0) {
      for (ServerKind kind : ServerKind.values()) {
        out.printf(
            Locale.ROOT,
            "%s: %.1f us of processor time for a choice among %d servers%n",
            kind,
            ChoiceCost.measureMicros(kind, costServers, seed),
            costServers);
      }
    }
    out.flush();
    return 0;
  }

  private void print(PrintWriter out, ServerKind kind, int count, int age, Variant variant) {
    List<EvennessSimulation.Result> results =
        LongStream.range(seed, seed + seeds)
            .parallel()
            .mapToObj(
                runSeed ->
                    new EvennessSimulation(
                            kind, variant, count, TimeUnit.MILLISECONDS.toNanos(age), runSeed)
                        .run(TimeUnit.SECONDS.toNanos(seconds)))
            .toList();
    out.printf(
        Locale.ROOT,
        "%-12s%10d%8d  %-22s%9.1f%10.2f%10.1f%10.1f%10.1f%n",
        kind,
        count,
        age,
        variant,
        100 * mean(results, EvennessSimulation.Result::unevenShare),
        mean(results, EvennessSimulation.Result::imbalance),
        mean(results, EvennessSimulation.Result::meanWaitMillis),
        mean(results, EvennessSimulation.Result::p99WaitMillis),
        mean(results, EvennessSimulation.Result::meanResponseMillis));
    out.flush();
  }

  private static double mean(
      List<EvennessSimulation.Result> results,
      java.util.function.ToDoubleFunction<EvennessSimulation.Result> measure) {
    return results.stream().mapToDouble(measure).average().orElse(0);
  }
}
