package org.basilport.error;

import java.time.Duration;

/** Rejection of a request before anything was sent to a backend server. */
public class RejectedException extends BasilportException {

  /** Creates a rejection after which a retry would not help. */
  public RejectedException(FailureCode code, Step step, String message) {
    this(code, step, null, message);
  }

  /** Creates a rejection after which the caller may retry. */
  public RejectedException(FailureCode code, Step step, Duration retryAfter, String message) {
    super(code, Outcome.NOT_RUN, step, "", retryAfter, message, null);
  }
}
