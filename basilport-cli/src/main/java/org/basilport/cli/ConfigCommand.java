package org.basilport.cli;

import picocli.CommandLine.Command;

/** Groups the subcommands for the configuration. */
@Command(
    name = "config",
    description = "Validate, apply and inspect the configuration.",
    mixinStandardHelpOptions = true,
    subcommands = {
      ConfigValidateCommand.class,
      ConfigDiffCommand.class,
      ConfigApplyCommand.class,
      ConfigShowCommand.class,
      ConfigHistoryCommand.class,
      ConfigStatusCommand.class,
      ConfigCheckCommand.class
    })
final class ConfigCommand {}
