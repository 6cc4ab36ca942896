package org.basilport.claim;

/**
 * The claim on a request key, which allows at most one attempt to send the request.
 *
 * @param attemptId id of the attempt that holds or held the claim
 * @param state progress of the attempt
 * @param status HTTP status of the response, 0 if unknown
 * @param digest first 8 bytes of the response body's hash, 0 if unknown
 */
public record Claim(String attemptId, State state, int status, long digest) {
  /** Progress of the attempt that made the claim. */
  public enum State {
    /** The attempt may send the request at any time. */
    CLAIMED,
    /** The attempt will never send the request. */
    RELEASED,
    /** The attempt received the response. */
    FINISHED
  }
}
