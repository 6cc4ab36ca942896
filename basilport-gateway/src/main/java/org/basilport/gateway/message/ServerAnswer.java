package org.basilport.gateway.message;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The head of a backend server's answer.
 *
 * @param requestId id of the request that is answered, as the server echoes it
 * @param status HTTP status
 * @param sealed whether the answer carries the signature of the server
 * @param notRun whether the server states that it did not run the request
 * @param encoded whether the body is encoded and therefore not the server's own
 * @param waiting requests that wait at the server, if it tells
 * @param closing whether the server closes the connection after the answer
 * @param idleSeconds how long the server keeps the connection open when idle, if it tells
 */
public record ServerAnswer(
    Optional<String> requestId,
    int status,
    boolean sealed,
    boolean notRun,
    boolean encoded,
    OptionalInt waiting,
    boolean closing,
    OptionalInt idleSeconds) {

  /** Whether the status reports success. */
  public boolean successful() {
    return status >= 200 && status < 300;
  }
}
