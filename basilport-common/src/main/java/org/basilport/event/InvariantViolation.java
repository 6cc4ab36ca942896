package org.basilport.event;

/** Violation of an invariant that is checked at run time. */
public class InvariantViolation extends IllegalStateException {

  /** Creates a violation of a named invariant. */
  public InvariantViolation(String name, String detail) {
    super("invariant " + name + " violated: " + detail);
  }
}
