package org.basilport.cli;

import java.util.Map;
import org.basilport.cli.client.InstanceClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the metrics of one instance. */
@Command(name = "metrics", description = "Print the metrics of one instance.")
final class MetricsCommand extends BaseCommand {
  @Option(names = "--entry", required = true, description = "IP address and port of the instance")
  private String entry;

  @Option(names = "--json", description = "print JSON instead of the Prometheus text format")
  private boolean json;

  @Override
  ExitCode execute() {
    String path = json ? "/metrics?format=json" : "/metrics";
    out().println(new InstanceClient().send(entry, "GET", path, Map.of(), "").body());
    return ExitCode.DONE;
  }
}
