package org.basilport.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Lists the latest accepted configuration changes. */
@Command(name = "history", description = "List the latest accepted changes, newest first.")
final class ConfigHistoryCommand extends BaseCommand {
  @Mixin private OperatorOptions operator;

  @Option(names = "--json", description = "print the response as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    print(operator.client().get(ConfigurationInForce.PATH + "/history"), json);
    return ExitCode.DONE;
  }
}
