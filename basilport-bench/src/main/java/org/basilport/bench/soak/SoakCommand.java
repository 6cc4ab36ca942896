package org.basilport.bench.soak;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs soak runs with consecutive seeds; exit code 1 when a guarantee is violated. */
@Command(
    name = "soak",
    description =
        "Runs routers against stand-ins with random faults and checks the router's guarantees.",
    mixinStandardHelpOptions = true)
public final class SoakCommand implements Callable<Integer> {
  private static final int VIOLATION = 1;

  @Spec private CommandSpec spec;

  @Option(names = "--seed", description = "First seed (default: ${DEFAULT-VALUE}).")
  private long seed = 1;

  @Option(names = "--seeds", description = "Number of seeds (default: ${DEFAULT-VALUE}).")
  private int seeds = 1;

  @Option(names = "--steps", description = "Scheduler steps per seed (default: ${DEFAULT-VALUE}).")
  private long steps = 1_000_000;

  @Option(names = "--no-faults", description = "Inject no faults.")
  private boolean withoutFaults;

  @Override
  public Integer call() {
    if (steps < 1 || seeds < 1) {
      throw new ParameterException(spec.commandLine(), "--steps and --seeds must be at least 1");
    }
    PrintWriter out = spec.commandLine().getOut();
    for (long next = seed; next < seed + seeds; next++) {
      SoakReport report = new SoakRun(settings(next)).run();
      print(out, report);
      if (report.violation().isPresent()) {
        return VIOLATION;
      }
    }
    return 0;
  }

  private SoakSettings settings(long runSeed) {
    SoakSettings defaults = SoakSettings.ofSeed(runSeed, steps);
    return new SoakSettings(
        runSeed,
        steps,
        defaults.instances(),
        defaults.engines(),
        defaults.serviceReplicas(),
        !withoutFaults);
  }

  private static void print(PrintWriter out, SoakReport report) {
    out.printf(
        "seed %d: %d steps, %.1f virtual seconds, trace %016x%n",
        report.seed(), report.steps(), report.virtualSeconds(), report.traceHash());
    out.println("  " + report.counts());
    report
        .violation()
        .ifPresent(
            violation -> {
              out.println(report.timeline());
              out.printf(
                  "VIOLATION at step %d of seed %d: %s%n",
                  report.steps(), report.seed(), violation);
            });
    out.flush();
  }
}
