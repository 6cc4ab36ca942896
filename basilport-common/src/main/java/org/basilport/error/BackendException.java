package org.basilport.error;

/** A backend server failed, or the connection to it did. */
public class BackendException extends BasilportException {

  /** Creates a failure of a backend server. */
  public BackendException(
      FailureCode code,
      Outcome outcome,
      Step step,
      String server,
      String message,
      Throwable cause) {
    super(code, outcome, step, server, null, message, cause);
  }
}
