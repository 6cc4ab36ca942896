package org.basilport.gateway.message;

import java.util.Optional;

/**
 * The answer of an engine to the order to move a generation.
 *
 * @param status HTTP status
 * @param handle handle of the copy; also present when the order failed after the generation stopped
 */
public record MoveResult(int status, Optional<String> handle) {

  /** Whether the copy is complete. */
  public boolean copied() {
    return status == 200 && handle.isPresent();
  }
}
