package org.basilport.daemon.http;

import java.time.Duration;
import java.util.List;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;

/**
 * A failure as callers read it.
 *
 * @param code reason of the failure
 * @param outcome what the caller may conclude about the request
 * @param step step at which the failure arose
 * @param peer address or id of the other side, empty when there was none
 * @param retryAfterMillis when to try again, in milliseconds, or null when a retry would not help
 * @param message explanation for a person
 * @param addresses other instances that the caller may use, empty when this one is as good
 */
public record FailureBody(
    FailureCode code,
    Outcome outcome,
    Step step,
    String peer,
    Long retryAfterMillis,
    String message,
    List<String> addresses) {

  /** Describes a failure together with other instances that the caller may use. */
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
