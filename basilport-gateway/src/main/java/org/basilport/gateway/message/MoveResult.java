package org.basilport.gateway.message;

import java.util.Optional;

/**
 * The answer of an engine to the order to move a generation.
 *
 * @param status HTTP status, 0 and below when there was no answer
 * @param handle handle of the copy; also present when the order failed after the generation stopped
 */
public record MoveResult(int status, Optional<String> handle) {

  /** No connection to the engine could be opened. */
  public static final MoveResult UNREACHABLE = new MoveResult(0, Optional.empty());

  /** The engine was asked, but did not answer. */
  public static final MoveResult NO_RESPONSE = new MoveResult(-1, Optional.empty());

  /** Whether the copy is complete. */
  public boolean copied() {
    return status == 200 && handle.isPresent();
  }
}
