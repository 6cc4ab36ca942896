package org.basilport.cli;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.basilport.daemon.Daemon;
import org.basilport.daemon.DaemonFactory;
import org.basilport.daemon.DaemonOptions;
import org.basilport.daemon.DaemonSettings;
import org.basilport.daemon.LoggingConfiguration;
import org.basilport.error.RejectedException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs an entry instance until SIGTERM or a drain. */
@Command(
    name = "router",
    description =
        "Run an entry instance until SIGTERM or a drain; both complete running requests first.")
final class RouterCommand extends BaseCommand {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(15);

  @Mixin private DaemonOptions options;

  @Override
  ExitCode execute() throws Exception {
    DaemonSettings settings;
    try {
      settings = DaemonSettings.from(options);
    } catch (RejectedException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
    LoggingConfiguration.apply(settings.logFormat(), settings.logLevel());
    Daemon daemon = DaemonFactory.create(settings);
    daemon.start().get();
    Thread shutdownHook = new Thread(() -> drain(daemon, settings), "shutdown");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    daemon.terminated().get();
    return ExitCode.DONE;
  }

  private static void drain(Daemon daemon, DaemonSettings settings) {
    long timeoutMillis = settings.instance().drainLimitMillis() + STOP_TIMEOUT.toMillis();
    int code = ExitCode.DONE.number();
    try {
      daemon.shutDown("SIGTERM").get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      LogManager.getLogger(RouterCommand.class)
          .error("drain failed or timed out; the process ends with exit code 1", e);
      code = ExitCode.CHECK_FAILED.number();
    }
    LogManager.shutdown();
    // Without halt the exit code after SIGTERM is 143, whether or not the drain completed.
    Runtime.getRuntime().halt(code);
  }
}
