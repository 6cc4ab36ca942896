package org.basilport.config;

import java.time.Instant;

/**
 * Accepted configuration.
 *
 * @param number number of the configuration, increasing with each acceptance
 * @param applyId id of the change that it resulted from
 * @param author operator who applied the change
 * @param acceptedAt when it was accepted
 * @param deployment content of the configuration
 */
public record AcceptedConfiguration(
    long number, String applyId, String author, Instant acceptedAt, Deployment deployment) {}
