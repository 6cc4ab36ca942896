package org.basilport.config;

/**
 * Application service, which is called without token streaming.
 *
 * @param name name of the service in the instance directory
 * @param replicas planned number of replicas
 * @param timeoutMillis timeout of a call, in milliseconds
 */
public record ApplicationService(String name, int replicas, long timeoutMillis) {}
