package org.basilport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.basilport.daemon.http.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the number of the configuration in force on each instance. */
@Command(
    name = "status",
    description = {
      "Print the number of the configuration in force on each instance.",
      "Exit code 1 when the number of a live instance differs from that of the queried one."
    })
final class ConfigStatusCommand extends BaseCommand {
  @Mixin private OperatorOptions operator;

  @Option(names = "--json", description = "print the response as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    String response = operator.client().get(ConfigurationInForce.PATH + "/status");
    JsonNode status = Json.tree(response);
    if (json) {
      out().println(response);
    } else {
      out().println("configuration " + status.path("number").asLong());
      out().print(TextTable.format(status.path("instances")));
    }
    return allCurrent(status) ? ExitCode.DONE : ExitCode.CHECK_FAILED;
  }

  private static boolean allCurrent(JsonNode status) {
    long number = status.path("number").asLong();
    for (JsonNode instance : status.path("instances")) {
      boolean serving =
          instance.path("status").asText().equals("SERVING")
              && instance.path("health").asText().equals("ALIVE");
      if (serving && instance.path("configurationNumber").asLong() != number) {
        return false;
      }
    }
    return true;
  }
}
