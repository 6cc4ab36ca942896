package org.basilport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Objects;
import org.basilport.cli.client.InstanceAnswer;
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
    InstanceAnswer answer = operator.client().get(ConfigurationInForce.PATH + "/status");
    Status status = answer.as(Status.class);
    if (json) {
      out().println(answer.body());
    } else {
      out().println("configuration " + status.number());
      out().print(TextTable.format(status.instances()));
    }
    return allCurrent(status) ? ExitCode.DONE : ExitCode.CHECK_FAILED;
  }

  private static boolean allCurrent(Status status) {
    for (JsonNode instance : status.instances()) {
      boolean serving =
          instance.path("status").asText().equals("SERVING")
              && instance.path("health").asText().equals("ALIVE");
      if (serving && instance.path("configurationNumber").asLong() != status.number()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Numbers of the configurations in force.
   *
   * @param number number at the queried instance
   * @param instances all instances with their numbers
   */
  private record Status(long number, ArrayNode instances) {
    private Status {
      Objects.requireNonNull(instances, "instances");
    }
  }
}
