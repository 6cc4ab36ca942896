package org.basilport.cli;

import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import org.basilport.config.InvalidConfigurationException;
import org.basilport.daemon.http.FailureBody;
import org.basilport.daemon.http.Json;
import org.basilport.error.BasilportException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;

/** Prints a failure to standard error and selects the exit code. */
final class FailurePrinter implements IExecutionExceptionHandler {
  private static final String JSON_FLAG = "--json";

  @Override
  public int handleExecutionException(
      Exception thrown, CommandLine command, ParseResult arguments) {
    Exception failure = unwrap(thrown);
    if (failure instanceof InvalidConfigurationException) {
      ((InvalidConfigurationException) failure)
          .problems()
          .forEach(problem -> command.getErr().println(problem));
      return ExitCode.REFUSED.number();
    }
    if (failure instanceof BasilportException) {
      print((BasilportException) failure, command);
      return ExitCode.of((BasilportException) failure).number();
    }
    if (failure instanceof IllegalArgumentException) {
      command.getErr().println("basilport: " + failure.getMessage());
      return ExitCode.USAGE.number();
    }
    command.getErr().println("basilport: " + failure);
    return ExitCode.CHECK_FAILED.number();
  }

  private static Exception unwrap(Exception thrown) {
    boolean wrapped = thrown instanceof ExecutionException || thrown instanceof CompletionException;
    return wrapped && thrown.getCause() instanceof Exception
        ? (Exception) thrown.getCause()
        : thrown;
  }

  private static void print(BasilportException failure, CommandLine command) {
    boolean json =
        command.getCommandSpec().findOption(JSON_FLAG) != null
            && Boolean.TRUE.equals(command.getCommandSpec().findOption(JSON_FLAG).getValue());
    if (json) {
      command.getErr().println(Json.write(FailureBody.of(failure, List.of())));
      return;
    }
    String peer = failure.peer().isEmpty() ? "" : " with " + failure.peer();
    command
        .getErr()
        .printf(
            "basilport: %s (%s) at step %s%s: %s%n",
            failure.code(), failure.outcome(), failure.step(), peer, failure.getMessage());
    failure
        .retryAfter()
        .ifPresent(
            delay -> command.getErr().printf("basilport: retry after %d ms%n", delay.toMillis()));
  }
}
