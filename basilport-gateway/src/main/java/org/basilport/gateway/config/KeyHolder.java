package org.basilport.gateway.config;

/**
 * The workspace that holds an access key.
 *
 * @param workspace name of the workspace
 * @param priority rank of its requests in place of the route's; negative when it has none
 */
public record KeyHolder(String workspace, int priority) {}
