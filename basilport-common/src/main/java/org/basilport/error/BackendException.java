package org.basilport.error;

/** Failure of a backend server or of the connection to it. */
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
