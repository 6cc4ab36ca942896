package org.basilport.gateway.message;

import java.util.Optional;

/**
 * Result of a request to an engine to move a generation.
 *
 * @param status HTTP status; 0 or negative without a response
 * @param handle handle of the copy; also present if the request failed after the generation had
 *     stopped
 */
public record MoveResult(int status, Optional<String> handle) {

  /** No connection to the engine could be opened. */
  public static final MoveResult UNREACHABLE = new MoveResult(0, Optional.empty());

  /** The request was sent, but no response was received. */
  public static final MoveResult NO_RESPONSE = new MoveResult(-1, Optional.empty());

  /** Whether the copy is complete. */
  public boolean copied() {
    return status == 200 && handle.isPresent();
  }
}
