package org.basilport.config;

import java.time.Instant;

/**
 * A configuration that was accepted.
 *
 * @param number number of the acceptance, larger for each later one
 * @param applyId id of the operator's change
 * @param author who applied it
 * @param acceptedAt when it was accepted
 * @param deployment the configuration itself
 */
public record AcceptedConfiguration(
    long number, String applyId, String author, Instant acceptedAt, Deployment deployment) {}
