package org.basilport.gateway.message;

import java.time.Duration;
import java.util.Optional;

/**
 * What a backend server says of itself in any answer, beside the answer to the request.
 *
 * @param leaving whether this start of the server is leaving
 * @param pause time for which the server wants no request of this instance; longer than 0
 */
public record ServerNotice(boolean leaving, Optional<Duration> pause) {
  /** Notice of a server that says nothing of itself. */
  public static final ServerNotice NONE = new ServerNotice(false, Optional.empty());
}
