package org.basilport.service;

/**
 * Load report of a replica of an application service.
 *
 * @param incarnation number that increases with each restart of the replica
 * @param leaving whether the replica is leaving
 * @param active number of calls in progress
 */
public record ServiceReport(long incarnation, boolean leaving, int active) {}
