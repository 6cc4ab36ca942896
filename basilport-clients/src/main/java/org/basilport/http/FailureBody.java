package org.basilport.http;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.time.Duration;
import java.util.Optional;
import org.basilport.error.BackendException;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;

/**
 * JSON body of an error response.
 *
 * @param code reason of the failure
 * @param outcome whether the request may have run
 * @param step step at which the failure arose
 * @param retryAfterMillis delay before a retry, in milliseconds, or null
 * @param message human-readable explanation
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record FailureBody(
    FailureCode code, Outcome outcome, Step step, Long retryAfterMillis, String message) {

  /** Creates the body of a failure. */
  public static FailureBody of(BasilportException failure) {
    return new FailureBody(
        failure.code(),
        failure.outcome(),
        failure.step(),
        failure.retryAfter().map(Duration::toMillis).orElse(null),
        failure.getMessage());
  }

  /** Parses a body; returns empty if it is not a failure in this format. */
  public static Optional<FailureBody> parse(String text) {
    return Json.tryRead(text, FailureBody.class)
        .filter(body -> body.code != null && body.outcome != null && body.step != null);
  }

  /** Returns the delay before a retry. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfterMillis).map(Duration::ofMillis);
  }

  /**
   * Converts an error response of a backend server. A response that does not state whether the
   * request ran counts as MAY_HAVE_RUN.
   */
  public static BackendException backendFailure(String address, int status, String text) {
    FailureBody fallback =
        new FailureBody(
            FailureCode.BACKEND_FAILED,
            Outcome.MAY_HAVE_RUN,
            Step.SEND,
            null,
            "backend server responded with status " + status);
    FailureBody body = parse(text).orElse(fallback);
    return new BackendException(body.code, body.outcome, body.step, address, body.message, null);
  }
}
