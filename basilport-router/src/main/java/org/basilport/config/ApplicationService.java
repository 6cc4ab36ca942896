package org.basilport.config;

/**
 * A plain service beside the model engines.
 *
 * @param name name of the service, as in the instance list
 * @param replicas number of replicas that are planned
 * @param timeoutMillis longest time that a call may take, in milliseconds
 */
public record ApplicationService(String name, int replicas, long timeoutMillis) {}
