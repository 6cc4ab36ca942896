package org.basilport.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import org.basilport.cli.client.InstanceAnswer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base class of the subcommands, with output and exit code handling. */
@Command(mixinStandardHelpOptions = true)
abstract class BaseCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public final Integer call() throws Exception {
    ExitCode code = execute();
    out().flush();
    return code.number();
  }

  /** Executes the command; returns its exit code. */
  abstract ExitCode execute() throws Exception;

  PrintWriter out() {
    return spec.commandLine().getOut();
  }

  PrintWriter err() {
    return spec.commandLine().getErr();
  }

  /** Prints a JSON response as one line, or formatted by {@link TextTable}. */
  void print(InstanceAnswer answer, boolean json) {
    JsonNode tree = answer.as(JsonNode.class);
    if (json) {
      out().println(answer.body());
      return;
    }
    out().print(TextTable.format(tree));
  }
}
