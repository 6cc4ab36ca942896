package org.basilport.bench.load;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Runs real processes with faults; exit code 1 when a guarantee was broken. */
@Command(
    name = "processes",
    mixinStandardHelpOptions = true,
    description = {
      "Starts daemon processes in three data centres and a stand-in process on loopback,",
      "kills, suspends, drains and restarts daemons under load, and checks the guarantees."
    })
public final class ProcessFaultCommand implements Callable<Integer> {
  private static final int VIOLATION = 1;
  private static final int MAX_DAEMONS = 12;
  private static final int MAX_SECONDS = 600;

  @Spec private CommandSpec spec;

  @Option(
      names = "--daemons",
      defaultValue = "7",
      description = "Number of daemon processes, 3 to 12.")
  private int daemons;

  @Option(
      names = "--seconds",
      defaultValue = "60",
      description = "Duration of fault injection, up to 600 s.")
  private int seconds;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the random choice of faults.")
  private long seed;

  @Option(
      names = "--streams",
      defaultValue = "20",
      description = "Number of concurrent stream callers.")
  private int streams;

  @Option(
      names = "--calls",
      defaultValue = "4",
      description = "Number of concurrent service callers.")
  private int calls;

  @Override
  public Integer call() throws Exception {
    if (daemons < 3 || daemons > MAX_DAEMONS || seconds < 1 || seconds > MAX_SECONDS) {
      throw new ParameterException(
          spec.commandLine(), "--daemons must be from 3 to 12, --seconds from 1 to 600");
    }
    PrintWriter out = spec.commandLine().getOut();
    ProcessFaultReport report =
        new ProcessFaultRun(
                new ProcessFaultSettings(
                    daemons, Duration.ofSeconds(seconds), seed, streams, calls),
                line -> {
                  out.println(line);
                  out.flush();
                })
            .run();
    report.counts().forEach((what, number) -> out.printf("%s: %d%n", what, number));
    report.violations().forEach(violation -> out.println("VIOLATION " + violation));
    out.printf("seed %d: %d violations%n", seed, report.violations().size());
    out.flush();
    return report.violations().isEmpty() ? 0 : VIOLATION;
  }
}
