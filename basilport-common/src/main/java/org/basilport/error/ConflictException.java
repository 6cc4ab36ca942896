package org.basilport.error;

/**
 * Failure of a conditional update whose expected version is out of date, or of a request that
 * competes with another one.
 */
public class ConflictException extends BasilportException {

  /** Creates a conflict at a step with a peer; the request had no effect. */
  public ConflictException(Step step, String peer, String message) {
    super(FailureCode.CONFLICT, Outcome.NOT_RUN, step, peer, null, message, null);
  }
}
