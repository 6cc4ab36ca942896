package org.basilport.gateway.config;

/**
 * Workspace that holds an access key.
 *
 * @param workspace name of the workspace
 * @param priority priority of its requests, which overrides that of the route; negative if not set
 */
public record KeyHolder(String workspace, int priority) {}
