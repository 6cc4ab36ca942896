package org.basilport.bench.contention;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Simulates callers that compete for insufficient capacity, and measures the cost of a decision.
 */
@Command(
    name = "contention",
    mixinStandardHelpOptions = true,
    description = "Simulates workspaces that compete for the capacity behind 60 instances.")
public final class ContentionCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--seed", defaultValue = "1", description = "First seed.")
  private long seed;

  @Option(names = "--seeds", defaultValue = "1", description = "Number of seeds.")
  private int seeds;

  @Option(names = "--workspaces", defaultValue = "24", description = "Number of workspaces.")
  private int workspaces;

  @Option(names = "--seconds", defaultValue = "120", description = "Simulated time in seconds.")
  private int seconds;

  @Option(names = "--demand", defaultValue = "3", description = "Requested over available tokens.")
  private double demand;

  @Option(names = "--lost-reports", defaultValue = "0", description = "Fraction of lost reports.")
  private double lostReports;

  @Option(
      names = "--restart-every",
      defaultValue = "0",
      description = "Seconds between two restarts of an instance; 0 for none.")
  private int restartEverySeconds;

  @Option(
      names = "--behaviour",
      split = ",",
      description = "Behaviours of the first workspace: ${COMPLETION-CANDIDATES}.")
  private List<CallerBehaviour> behaviours = List.of(CallerBehaviour.values());

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    out.printf(
        Locale.ROOT,
        "%-30s%-10s%5s%8s%8s%8s%10s%10s%8s%10s%7s%n",
        "behaviour",
        "queue",
        "seed",
        "first",
        "min",
        "max",
        "refused",
        "returned",
        "found",
        "with room",
        "used");
    for (CallerBehaviour behaviour : behaviours) {
      for (long current = seed; current < seed + seeds; current++) {
        print(out, behaviour, current, false);
        print(out, behaviour, current, true);
      }
    }
    out.printf(
        Locale.ROOT,
        "decision with %d waiting requests: %.2f us%n",
        ContentionCost.WAITING,
        ContentionCost.micros(seed));
    out.flush();
    return 0;
  }

  private void print(PrintWriter out, CallerBehaviour behaviour, long current, boolean fair) {
    ContentionResult result =
        new ContentionSimulation(
                new ContentionSettings(
                    behaviour,
                    current,
                    workspaces,
                    seconds,
                    demand,
                    lostReports,
                    restartEverySeconds,
                    fair))
            .run();
    out.printf(
        Locale.ROOT,
        "%-30s%-10s%5d%8.3f%8.3f%8.3f%10d%10d%8d%10d%7.3f%n",
        behaviour,
        fair ? "contended" : "arrival",
        current,
        result.first(),
        result.smallestOther(),
        result.largestOther(),
        result.refused(),
        result.returnedInTime(),
        result.foundCapacity(),
        result.refusedWithCapacity(),
        result.utilization());
    out.flush();
  }
}
