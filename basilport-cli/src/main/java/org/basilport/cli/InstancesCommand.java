package org.basilport.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Lists the entry instances known to one of them. */
@Command(name = "instances", description = "List entry instances with status and health.")
final class InstancesCommand extends BaseCommand {
  @Mixin private OperatorOptions operator;

  @Option(names = "--json", description = "print the response as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    print(operator.client().get("/v1/operator/instances"), json);
    return ExitCode.DONE;
  }
}
