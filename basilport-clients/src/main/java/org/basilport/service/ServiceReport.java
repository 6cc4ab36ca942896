package org.basilport.service;

/**
 * Load of a replica of a plain service.
 *
 * @param incarnation number that grows with each restart of the replica
 * @param leaving whether the replica was told to leave
 * @param active calls in progress
 */
public record ServiceReport(long incarnation, boolean leaving, int active) {}
