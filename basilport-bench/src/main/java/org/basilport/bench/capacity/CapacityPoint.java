package org.basilport.bench.capacity;

/**
 * Size of one measured fleet.
 *
 * @param instances entry instances
 * @param servers backend servers
 * @param workspaces workspaces in the configuration
 */
public record CapacityPoint(int instances, int servers, int workspaces) {}
