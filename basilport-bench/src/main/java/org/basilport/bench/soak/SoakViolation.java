package org.basilport.bench.soak;

/**
 * Thrown when a soak run violates a guarantee of the router. The codes are:
 *
 * <ul>
 *   <li>G1: tokens arrive in order, without gaps or repetitions, and from one generation.
 *   <li>G2: accepted requests complete, and reported results are true.
 *   <li>G3: a request that is reported as not run was not executed.
 *   <li>G4: a request key is executed at most once.
 *   <li>G5: a backend server that is leaving receives no new work.
 *   <li>G6: a drain lets open streams finish or hands them over.
 *   <li>G7: an accepted configuration is in force everywhere in time and is never rolled back.
 * </ul>
 */
public final class SoakViolation extends RuntimeException {

  /** Creates a violation of a guarantee, given by its code or name. */
  public SoakViolation(String guarantee, String detail) {
    super(guarantee + ": " + detail);
  }
}
