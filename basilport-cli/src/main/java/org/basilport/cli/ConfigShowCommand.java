package org.basilport.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the configuration in force. */
@Command(name = "show", description = "Print the configuration in force.")
final class ConfigShowCommand extends BaseCommand {
  @Mixin private OperatorOptions operator;

  @Option(names = "--json", description = "print the configuration on one line")
  private boolean json;

  @Override
  ExitCode execute() {
    print(operator.client().get(ConfigurationInForce.PATH), json);
    return ExitCode.DONE;
  }
}
