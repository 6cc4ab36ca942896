package org.basilport.bench.capacity;

/**
 * Size of a measured fleet.
 *
 * @param instances number of entry instances
 * @param servers number of backend servers
 * @param workspaces number of workspaces in the configuration
 */
public record CapacityPoint(int instances, int servers, int workspaces) {}
