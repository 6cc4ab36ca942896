package org.basilport.http;

import java.time.Duration;

/**
 * Limits of HTTP calls.
 *
 * @param connect longest time to connect
 * @param answer longest time without a byte of a whole answer
 * @param idle longest time that an unused connection is kept
 */
public record HttpTimeouts(Duration connect, Duration answer, Duration idle) {

  /** Limits for calls within a region. */
  public static HttpTimeouts defaults() {
    return new HttpTimeouts(Duration.ofSeconds(1), Duration.ofSeconds(10), Duration.ofSeconds(20));
  }
}
