package org.basilport.gateway.backend;

import java.time.Instant;

/**
 * Quarantine as it is kept outside the instances.
 *
 * @param content hash of the quarantined request or prompt part
 * @param until time of day at which the quarantine ends
 */
public record StoredQuarantine(long content, Instant until) {}
