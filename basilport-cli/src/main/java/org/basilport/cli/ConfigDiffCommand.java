package org.basilport.cli;

import java.util.List;
import org.basilport.config.ConfigurationDiff;
import org.basilport.config.ConfigurationDifference;
import org.basilport.config.Deployment;
import org.basilport.daemon.http.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Compares configuration files with the configuration in force. */
@Command(
    name = "diff",
    description = "Compare files with the configuration in force; exit code 1 when they differ.")
final class ConfigDiffCommand extends BaseCommand {
  @Mixin private SiteOptions site;
  @Mixin private OperatorOptions operator;

  @Option(names = "--json", description = "print the differences as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    Deployment desired = site.load();
    Deployment current =
        ConfigurationInForce.read(operator.client())
            .map(ConfigurationInForce::deployment)
            .orElseGet(() -> empty(desired.site()));
    List<ConfigurationDifference> differences = ConfigurationDiff.between(current, desired);
    if (json) {
      out().println(Json.write(differences));
    } else {
      differences.forEach(this::print);
    }
    return differences.isEmpty() ? ExitCode.DONE : ExitCode.CHECK_FAILED;
  }

  private static Deployment empty(String site) {
    return new Deployment(site, List.of(), List.of(), List.of(), List.of());
  }

  private void print(ConfigurationDifference difference) {
    switch (difference.kind()) {
      case ADDED:
        out().printf("+ %s: %s%n", difference.field(), difference.after());
        break;
      case REMOVED:
        out().printf("- %s: %s%n", difference.field(), difference.before());
        break;
      default:
        out()
            .printf(
                "~ %s: %s -> %s%n", difference.field(), difference.before(), difference.after());
        break;
    }
  }
}
