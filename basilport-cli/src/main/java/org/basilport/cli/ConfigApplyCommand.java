package org.basilport.cli;

import java.util.UUID;
import org.basilport.cli.client.InstanceAnswer;
import org.basilport.cli.client.OperatorClient;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.Deployment;
import org.basilport.daemon.http.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Applies configuration files. */
@Command(
    name = "apply",
    description = {
      "Apply configuration files.",
      "After exit code 4 or 6, run the command again with the printed --apply-id."
    })
final class ConfigApplyCommand extends BaseCommand {
  private static final long NO_CONFIGURATION = 0;

  @Mixin private SiteOptions site;
  @Mixin private OperatorOptions operator;

  @Option(
      names = "--author",
      defaultValue = "${sys:user.name}",
      description = "author of the change; default: the user's name")
  private String author;

  @Option(
      names = "--expect",
      description = "number of the configuration to replace, -1 for any; default: the one in force")
  private Long expected;

  @Option(names = "--apply-id", description = "id of the change; default: a new one")
  private String applyId;

  @Option(names = "--json", description = "print the accepted configuration as JSON")
  private boolean json;

  @Override
  ExitCode execute() {
    Deployment deployment = site.load();
    OperatorClient client = operator.client();
    if (applyId == null) {
      applyId = UUID.randomUUID().toString();
      err().println("basilport: apply id " + applyId);
    }
    if (expected == null) {
      expected =
          ConfigurationInForce.read(client)
              .map(ConfigurationInForce::number)
              .orElse(NO_CONFIGURATION);
    }
    ConfigurationChange change = new ConfigurationChange(applyId, author, expected, deployment);
    InstanceAnswer answer = client.post(ConfigurationInForce.PATH, Json.write(change));
    ConfigurationInForce accepted = answer.as(ConfigurationInForce.class);
    out().println(json ? answer.body() : "configuration " + accepted.number() + " accepted");
    return ExitCode.DONE;
  }
}
