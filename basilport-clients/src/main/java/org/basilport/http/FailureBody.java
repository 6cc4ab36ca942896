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
 * JSON body of a failure.
 *
 * @param code reason of the failure
 * @param outcome what the failure says about the request
 * @param step step at which it arose
 * @param retryAfterMillis when to try again, in milliseconds, or null
 * @param message text for people
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record FailureBody(
    FailureCode code, Outcome outcome, Step step, Long retryAfterMillis, String message) {

  /** Body that carries a failure. */
  public static FailureBody of(BasilportException failure) {
    return new FailureBody(
        failure.code(),
        failure.outcome(),
        failure.step(),
        failure.retryAfter().map(Duration::toMillis).orElse(null),
        failure.getMessage());
  }

  /** Reads a body; empty when it is not a failure in this form. */
  public static Optional<FailureBody> parse(String text) {
    return Json.tryRead(text, FailureBody.class)
        .filter(body -> body.code != null && body.outcome != null && body.step != null);
  }

  /** When to try again. */
  public Optional<Duration> retryAfter() {
    return Optional.ofNullable(retryAfterMillis).map(Duration::ofMillis);
  }

  /**
   * The failure of a backend server that sent an answer with an error status. An answer that does
   * not say whether the request ran counts as MAY_HAVE_RUN.
   */
  public static BackendException backendFailure(String address, int status, String text) {
    FailureBody fallback =
        new FailureBody(
            FailureCode.BACKEND_FAILED,
            Outcome.MAY_HAVE_RUN,
            Step.SEND,
            null,
            "the backend server answered with status " + status);
    FailureBody body = parse(text).orElse(fallback);
    return new BackendException(body.code, body.outcome, body.step, address, body.message, null);
  }
}
