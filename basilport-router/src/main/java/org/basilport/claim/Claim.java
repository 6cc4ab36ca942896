package org.basilport.claim;

/**
 * The claim of one request key.
 *
 * @param attemptId attempt that holds or held it
 * @param state what the attempt told
 * @param status HTTP status of the outcome, 0 when unknown
 * @param digest leading bytes of the outcome's hash, 0 when unknown
 */
public record Claim(String attemptId, State state, int status, long digest) {
  /** Progress of a claim. */
  public enum State {
    /** The attempt may send the request at any time. */
    CLAIMED,
    /** The attempt decided never to send it. */
    RELEASED,
    /** The attempt received the answer. */
    FINISHED
  }
}
