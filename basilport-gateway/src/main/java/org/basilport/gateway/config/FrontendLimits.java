package org.basilport.gateway.config;

import java.time.Duration;

/**
 * Limits on what a caller may send.
 *
 * @param maxHeaderBytes largest request line and headers
 * @param maxBodyBytes largest body
 * @param headerTimeout time from the first byte of a request to the end of its headers
 * @param idleTimeout time after which an idle connection is closed
 */
public record FrontendLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits before the first configuration is known. */
  public static final FrontendLimits INITIAL =
      new FrontendLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
