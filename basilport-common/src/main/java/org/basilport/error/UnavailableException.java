package org.basilport.error;

import java.time.Duration;

/** A peer, the platform or a backend server cannot be reached or refuses for now. */
public class UnavailableException extends BasilportException {

  /** Creates a failure after which the caller may try again. */
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
