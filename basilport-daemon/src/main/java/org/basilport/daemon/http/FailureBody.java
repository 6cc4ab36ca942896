package org.basilport.daemon.http;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;

/**
 * JSON body of a failure response.
 *
 * @param code reason of the failure
 * @param outcome whether the request may have run
 * @param step step at which the failure arose
 * @param peer address or id of the remote side, or empty
 * @param retryAfterMillis delay before a retry, in milliseconds, or null when a retry does not help
 * @param message human-readable explanation
 * @param addresses other instances that the caller may use, empty when they would not serve better
 */
public record FailureBody(
    FailureCode code,
    Outcome outcome,
    Step step,
    String peer,
    Long retryAfterMillis,
    String message,
    List<String> addresses) {

  /** Checks that the members that decide about a retry are present. */
  public FailureBody {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(step, "step");
  }

  /** Creates the body of a failure with addresses of other instances that the caller may use. */
  public static FailureBody of(BasilportException failure, List<String> addresses) {
    return new FailureBody(
        failure.code(),
        failure.outcome(),
        failure.step(),
        failure.peer(),
        failure.retryAfter().map(Duration::toMillis).orElse(null),
        failure.getMessage(),
        addresses);
  }
}
