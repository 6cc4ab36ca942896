package org.basilport.gateway.message;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The head of a backend server's answer.
 *
 * @param requestId id of the request that is answered, as the server echoes it
 * @param status HTTP status
 * @param signed whether the answer carries the signature of the server
 * @param notExecuted whether the server states that it did not run the request
 * @param contentEncoded whether the body is encoded and therefore not the server's own
 * @param queueLength requests that wait at the server, if it tells
 * @param closesConnection whether the server closes the connection after the answer
 * @param idleTimeoutSeconds how long the server keeps the connection open when idle, if it tells
 */
public record ServerResponse(
    Optional<String> requestId,
    int status,
    boolean signed,
    boolean notExecuted,
    boolean contentEncoded,
    OptionalInt queueLength,
    boolean closesConnection,
    OptionalInt idleTimeoutSeconds) {

  /** Whether the status reports success. */
  public boolean successful() {
    return status >= 200 && status < 300;
  }
}
