package org.basilport.claim;

/**
 * The result of an attempt to claim a request key.
 *
 * @param kind whether the attempt holds the claim, and if not, why
 * @param status recorded HTTP status of a finished request, otherwise 0
 */
record ClaimDecision(Kind kind, int status) {
  enum Kind {
    /** The attempt may send the request. */
    HELD,
    /** An earlier attempt may have sent the request. */
    IN_PROGRESS,
    /** An earlier attempt received the response. */
    FINISHED,
    /** The key has expired and can no longer be claimed. */
    CLOSED
  }

  static ClaimDecision of(Kind kind) {
    return new ClaimDecision(kind, 0);
  }
}
