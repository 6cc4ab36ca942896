package org.basilport.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints the state of a deferred generation, with its result when it is finished. */
@Command(name = "collect", description = "Print the state and result of a deferred generation.")
final class CollectCommand extends BaseCommand {
  @Mixin private CallerOptions caller;

  @Parameters(index = "0", description = "id of the job")
  private String jobId;

  @Override
  ExitCode execute() {
    out().println(caller.client().collectDeferred(jobId));
    return ExitCode.DONE;
  }
}
