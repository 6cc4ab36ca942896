package org.basilport.cli;

import org.basilport.config.Deployment;
import org.basilport.config.DeploymentCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Merges and validates configuration files locally, without contacting an instance. */
@Command(name = "validate", description = "Merge and check configuration files.")
final class ConfigValidateCommand extends BaseCommand {
  @Mixin private SiteOptions site;

  @Option(names = "--json", description = "print the merged configuration as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    Deployment deployment = site.load();
    if (json) {
      out().println(DeploymentCodec.encodeText(deployment));
    } else {
      out()
          .printf(
              "%s: %d model services, %d application services, %d workspaces, %d routes%n",
              deployment.site(),
              deployment.modelServices().size(),
              deployment.applicationServices().size(),
              deployment.workspaces().size(),
              deployment.routes().size());
    }
    return ExitCode.DONE;
  }
}
