package org.basilport.cli.client;

import java.util.List;

/**
 * Answer to a question which instances to use.
 *
 * @param addresses addresses, best first
 * @param lifetimeMillis how long the answer may be kept, in milliseconds
 */
public record LocationResponse(List<String> addresses, long lifetimeMillis) {}
