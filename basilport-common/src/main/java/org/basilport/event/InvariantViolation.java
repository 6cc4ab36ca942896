package org.basilport.event;

/** A guarantee that the program checks at run time was broken. */
public class InvariantViolation extends IllegalStateException {

  /** Creates a violation of a named invariant. */
  public InvariantViolation(String name, String detail) {
    super("invariant " + name + " violated: " + detail);
  }
}
