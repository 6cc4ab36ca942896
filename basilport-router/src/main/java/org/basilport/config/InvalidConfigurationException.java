package org.basilport.config;

import java.util.List;
import java.util.stream.Collectors;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;

/** A configuration that was refused, with all of its problems. */
public class InvalidConfigurationException extends RejectedException {
  private final transient List<ConfigurationProblem> problems;

  /** Creates a refusal for at least one problem. */
  public InvalidConfigurationException(List<ConfigurationProblem> problems) {
    super(
        FailureCode.INVALID_CONFIGURATION,
        Step.CONFIGURE,
        problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** All problems, in the order of the configuration. */
  public List<ConfigurationProblem> problems() {
    return problems;
  }
}
