package org.basilport.event;

/** An invariant does not hold, which is a fault of the program. */
public class InvariantViolation extends IllegalStateException {
  /** Creates a violation. */
  public InvariantViolation(String message) {
    super(message);
  }
}
