package org.basilport.config;

import java.util.List;
import java.util.stream.Collectors;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;

/** Thrown when a configuration is rejected; lists all of its problems. */
public class InvalidConfigurationException extends RejectedException {
  private final transient List<ConfigurationProblem> problems;

  /** Creates an exception for at least one problem. */
  public InvalidConfigurationException(List<ConfigurationProblem> problems) {
    super(
        FailureCode.INVALID_CONFIGURATION,
        Step.CONFIGURE,
        problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Returns all problems, in the order of the configuration. */
  public List<ConfigurationProblem> problems() {
    return problems;
  }
}
