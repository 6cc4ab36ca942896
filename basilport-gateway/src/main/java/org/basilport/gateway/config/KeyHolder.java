package org.basilport.gateway.config;

import java.util.List;

/**
 * Workspace that holds an access key.
 *
 * @param workspace name of the workspace
 * @param priority priority of its requests, which overrides that of the route; negative if not set
 * @param allowedRegions regions whose servers may run its requests; empty if all may
 */
public record KeyHolder(String workspace, int priority, List<String> allowedRegions) {

  /** Creates a holder whose requests may run in all regions. */
  public KeyHolder(String workspace, int priority) {
    this(workspace, priority, List.of());
  }
}
