package org.basilport.gateway.message;

/** A message whose headers or body do not have the form that the protocol demands. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with what is wrong. */
  public MalformedMessageException(String problem) {
    super(problem);
  }
}
