package org.basilport.claim;

/** An object of the store does not have the form that this software writes. */
final class MalformedObjectException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  MalformedObjectException(String message, Throwable cause) {
    super(message, cause);
  }
}
