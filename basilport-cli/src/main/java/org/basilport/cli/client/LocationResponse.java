package org.basilport.cli.client;

import java.util.List;
import java.util.Objects;

/**
 * The instances to use for a route.
 *
 * @param addresses addresses of the instances, best first
 * @param lifetimeMillis time for which the response may be cached, in milliseconds
 */
public record LocationResponse(List<String> addresses, long lifetimeMillis) {
  /** Checks that the addresses are present. */
  public LocationResponse {
    Objects.requireNonNull(addresses, "addresses");
  }
}
