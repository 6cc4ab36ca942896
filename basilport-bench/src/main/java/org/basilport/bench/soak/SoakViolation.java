package org.basilport.bench.soak;

/**
 * Thrown when a soak run violates a guarantee of the router. The codes are:
 *
 * <ul>
 *   <li>G1: tokens arrive in order, without gaps or repetitions, and from one generation.
 *   <li>G2: every caller gets the complete response to its own request.
 *   <li>G3: a request that is reported as not run was not executed.
 *   <li>G4: a request that may not be repeated is executed at most once.
 *   <li>G5: a backend server that is leaving receives no new work.
 *   <li>G6: a graceful shutdown cuts off no request; open streams finish or are handed over.
 *   <li>G7: an accepted configuration is in force everywhere in time and is never rolled back.
 * </ul>
 */
public final class SoakViolation extends RuntimeException {

  /** Creates a violation of a guarantee, given by its code or name. */
  public SoakViolation(String guarantee, String detail) {
    super(guarantee + ": " + detail);
  }
}
