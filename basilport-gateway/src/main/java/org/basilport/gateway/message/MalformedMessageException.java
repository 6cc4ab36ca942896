package org.basilport.gateway.message;

/** Thrown when the headers or the body of a message are malformed. */
public final class MalformedMessageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String problem) {
    super(problem);
  }
}
