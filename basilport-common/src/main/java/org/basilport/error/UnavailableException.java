package org.basilport.error;

import java.time.Duration;

/**
 * Failure of a peer, the platform or a backend server that is unreachable or temporarily refuses.
 */
public class UnavailableException extends BasilportException {

  /** Creates a failure after which the caller may retry. */
  public UnavailableException(
      FailureCode code,
      Outcome outcome,
      Step step,
      String peer,
      Duration retryAfter,
      String message,
      Throwable cause) {
    super(code, outcome, step, peer, retryAfter, message, cause);
  }
}
