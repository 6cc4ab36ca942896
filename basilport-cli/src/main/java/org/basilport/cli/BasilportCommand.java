package org.basilport.cli;

import java.io.PrintWriter;
import org.basilport.bench.soak.SoakCommand;
import org.basilport.daemon.EnvironmentDefaultProvider;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The {@code basilport} command. */
@Command(
    name = "basilport",
    description = "Serves and operates model generations of unknown length.",
    mixinStandardHelpOptions = true,
    versionProvider = BasilportCommand.Version.class,
    footer = {
      "",
      "Each flag can be given as a variable: --peer-address is BASILPORT_PEER_ADDRESS.",
      "Exit codes: 0 done, 1 a guarantee or check failed, 2 usage, 3 refused (not run),",
      "4 may have run, 5 lost part way, 6 unavailable (not run), 7 conflict (not run)."
    },
    subcommands = {
      RouterCommand.class,
      ConfigCommand.class,
      LocateCommand.class,
      GenerateCommand.class,
      CollectCommand.class,
      CallCommand.class,
      DrainCommand.class,
      InstancesCommand.class,
      EnginesCommand.class,
      TimelineCommand.class,
      MetricsCommand.class,
      BenchCommand.class,
      SoakCommand.class,
      StandinCommand.class,
      DemoCommand.class
    })
public final class BasilportCommand {
  private BasilportCommand() {}

  /** Runs the command and exits the process with its code. */
  public static void main(String[] arguments) {
    CommandLine commandLine = commandLine();
    commandLine.setOut(new PrintWriter(System.out, true));
    // Ratpack 1.9 does not recognise SLF4J 2 and prints its start messages to standard output,
    // which scripts parse.
    System.setOut(System.err);
    System.exit(commandLine.execute(arguments));
  }

  /** Creates the command line with defaults from the environment and with failure handling. */
  static CommandLine commandLine() {
    CommandLine commandLine = new CommandLine(new BasilportCommand());
    commandLine.setExecutionExceptionHandler(new FailurePrinter());
    commandLine.setDefaultValueProvider(new EnvironmentDefaultProvider());
    return commandLine;
  }

  /** Reads the version from the manifest of the jar. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = BasilportCommand.class.getPackage().getImplementationVersion();
      return new String[] {"basilport " + (version == null ? "development" : version)};
    }
  }
}
