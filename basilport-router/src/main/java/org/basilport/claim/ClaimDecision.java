package org.basilport.claim;

/**
 * The answer to a claim.
 *
 * @param kind what the caller of the claim may do
 * @param status recorded HTTP status of a finished request, else 0
 */
record ClaimDecision(Kind kind, int status) {
  enum Kind {
    /** The attempt may send the request. */
    HELD,
    /** An earlier attempt may have sent the request. */
    IN_PROGRESS,
    /** An earlier attempt received the answer. */
    FINISHED,
    /** The key is too old to be claimed. */
    CLOSED
  }

  static ClaimDecision of(Kind kind) {
    return new ClaimDecision(kind, 0);
  }
}
