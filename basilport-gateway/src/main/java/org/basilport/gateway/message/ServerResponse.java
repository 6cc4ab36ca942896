package org.basilport.gateway.message;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * Head of a backend server's response.
 *
 * @param requestId request id that the server echoes
 * @param status HTTP status
 * @param signed whether the response carries the signature of the server
 * @param notExecuted whether the server states that it did not execute the request
 * @param contentEncoded whether the body has a content encoding; the servers send none, so an
 *     encoded body is not theirs
 * @param queueLength number of requests queued at the server, if it sends it
 * @param requestLimit requests per second that the server accepts from all instances together, if
 *     it names a limit
 * @param closesConnection whether the server closes the connection after the response
 * @param idleTimeoutSeconds idle timeout of the connection at the server, if it sends it
 * @param notice what the server says of itself
 * @param slowdownPercent how long work takes on the machine of the server at this moment, in
 *     percent of the usual time, if it sends it
 */
public record ServerResponse(
    Optional<String> requestId,
    int status,
    boolean signed,
    boolean notExecuted,
    boolean contentEncoded,
    OptionalInt queueLength,
    OptionalDouble requestLimit,
    boolean closesConnection,
    OptionalInt idleTimeoutSeconds,
    ServerNotice notice,
    OptionalInt slowdownPercent) {

  /** Creates the head of a response that states no slowdown. */
  public ServerResponse(
      Optional<String> requestId,
      int status,
      boolean signed,
      boolean notExecuted,
      boolean contentEncoded,
      OptionalInt queueLength,
      OptionalDouble requestLimit,
      boolean closesConnection,
      OptionalInt idleTimeoutSeconds,
      ServerNotice notice) {
    this(
        requestId,
        status,
        signed,
        notExecuted,
        contentEncoded,
        queueLength,
        requestLimit,
        closesConnection,
        idleTimeoutSeconds,
        notice,
        OptionalInt.empty());
  }

  /** Whether the status is 2xx. */
  public boolean successful() {
    return status >= 200 && status < 300;
  }
}
