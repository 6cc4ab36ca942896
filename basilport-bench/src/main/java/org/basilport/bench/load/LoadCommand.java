package org.basilport.bench.load;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Measures the overhead of a daemon; exit code 1 when a stream failed or was faulty. */
@Command(
    name = "load",
    mixinStandardHelpOptions = true,
    description = {
      "Sends an open-loop load through one daemon and directly to its engines over loopback.",
      "With --open-streams, holds streams open and measures heap use instead."
    })
public final class LoadCommand implements Callable<Integer> {
  private static final int STREAM_FAILED = 1;
  private static final int MAX_OPEN_STREAMS = 20_000;
  private static final int MAX_SECONDS = 600;

  /** Tokens of a stream that is held open; enough that no stream ends during the run. */
  private static final int HELD_STREAM_TOKENS = 10_000;

  @Spec private CommandSpec spec;

  @Option(names = "--engines", defaultValue = "8", description = "Number of stand-in engines.")
  private int engines;

  @Option(names = "--rate", defaultValue = "50", description = "Requests/s on each path.")
  private double rate;

  @Option(names = "--tokens", defaultValue = "64", description = "Tokens per stream.")
  private int tokens;

  @Option(
      names = "--step-millis",
      description = "Time between tokens of an engine (default: 10; with --open-streams 2000).")
  private Integer stepMillis;

  @Option(names = "--warm-up", defaultValue = "10", description = "Warm-up in seconds.")
  private int warmUpSeconds;

  @Option(names = "--seconds", defaultValue = "20", description = "Measured window in seconds.")
  private int seconds;

  @Option(
      names = "--open-streams",
      defaultValue = "0",
      description = "Streams to hold open, up to 20000; each needs two descriptors per process.")
  private int openStreams;

  @Option(
      names = "--second-jvm",
      description = "Print the daemon's command and wait until the user has started it.")
  private boolean secondJvm;

  @Override
  public Integer call() throws Exception {
    boolean valid =
        engines > 0
            && rate > 0
            && tokens > 0
            && seconds > 0
            && warmUpSeconds >= 0
            && seconds + warmUpSeconds <= MAX_SECONDS
            && openStreams >= 0
            && openStreams <= MAX_OPEN_STREAMS;
    if (!valid) {
      throw new ParameterException(
          spec.commandLine(),
          "counts must be positive, --warm-up and --seconds at most 600 s together,"
              + " --open-streams from 0 to 20000");
    }
    PrintWriter out = spec.commandLine().getOut();
    boolean holdStreams = openStreams > 0;
    int step = stepMillis != null ? stepMillis : holdStreams ? 2_000 : 10;
    LoadSettings settings =
        new LoadSettings(
            engines,
            rate,
            holdStreams ? HELD_STREAM_TOKENS : tokens,
            Duration.ofMillis(step),
            Duration.ofSeconds(warmUpSeconds),
            Duration.ofSeconds(seconds),
            openStreams);
    LoadReport report =
        new LoadBenchmark(
                settings,
                line -> {
                  out.println(line);
                  out.flush();
                })
            .run(secondJvm);
    report.lines().forEach(out::println);
    out.flush();
    return report.complete() ? 0 : STREAM_FAILED;
  }
}
