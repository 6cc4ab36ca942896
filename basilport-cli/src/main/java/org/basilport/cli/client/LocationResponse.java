package org.basilport.cli.client;

import java.util.List;

/**
 * The instances to use for a route.
 *
 * @param addresses addresses of the instances, best first
 * @param lifetimeMillis time for which the response may be cached, in milliseconds
 */
public record LocationResponse(List<String> addresses, long lifetimeMillis) {}
