package org.basilport.http;

import java.time.Duration;

/**
 * Timeouts of HTTP requests.
 *
 * @param connect timeout for establishing a connection
 * @param answer maximum time without a received byte while waiting for a complete response
 * @param idle time after which an unused connection is closed
 */
public record HttpTimeouts(Duration connect, Duration answer, Duration idle) {

  /** Timeouts for requests within a region. */
  public static HttpTimeouts defaults() {
    return new HttpTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(10), Duration.ofSeconds(20));
  }
}
