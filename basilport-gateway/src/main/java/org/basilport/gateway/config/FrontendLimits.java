package org.basilport.gateway.config;

import java.time.Duration;

/**
 * Limits on the connections and requests of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and of the headers
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeout time from the first byte of a connection to the end of the first request's
 *     headers
 * @param idleTimeout time after which an idle connection or an incomplete request is aborted
 */
public record FrontendLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits until the first configuration is applied. */
  public static final FrontendLimits INITIAL =
      new FrontendLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
