package org.basilport.cli;

import org.basilport.daemon.http.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Starts a graceful shutdown of the first reachable instance. */
@Command(name = "drain", description = "Start a graceful shutdown of the instance at --entry.")
final class DrainCommand extends BaseCommand {
  @Mixin private OperatorOptions operator;

  @Option(
      names = "--reason",
      defaultValue = "operator",
      description = "reason for the event log; default: ${DEFAULT-VALUE}")
  private String reason;

  @Override
  ExitCode execute() {
    operator.client().post("/v1/operator/drain", Json.write(new Drain(reason)));
    return ExitCode.DONE;
  }

  /** JSON body of the request. */
  record Drain(String reason) {}
}
