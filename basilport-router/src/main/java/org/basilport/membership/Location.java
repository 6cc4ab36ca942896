package org.basilport.membership;

import java.time.Duration;
import java.util.List;

/**
 * Instances that a caller should use.
 *
 * @param addresses IP addresses and ports, best first
 * @param lifetime how long the caller may cache the addresses
 */
public record Location(List<String> addresses, Duration lifetime) {}
