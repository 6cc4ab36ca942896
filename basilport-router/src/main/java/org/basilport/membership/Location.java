package org.basilport.membership;

import java.time.Duration;
import java.util.List;

/**
 * Instances that a caller may use.
 *
 * @param addresses IP addresses and ports, best first
 * @param lifetime how long the answer may be kept
 */
public record Location(List<String> addresses, Duration lifetime) {}
