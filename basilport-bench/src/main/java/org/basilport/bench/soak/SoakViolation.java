package org.basilport.bench.soak;

/** A guarantee was broken in a randomised run. */
public final class SoakViolation extends RuntimeException {

  /** Creates a violation of a named guarantee. */
  public SoakViolation(String guarantee, String detail) {
    super(guarantee + ": " + detail);
  }
}
