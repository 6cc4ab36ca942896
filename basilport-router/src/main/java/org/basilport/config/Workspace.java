package org.basilport.config;

/**
 * Workspace of a customer of the site.
 *
 * @param name name of the workspace
 * @param keySha256 SHA-256 hash of the workspace's key, in lower-case hexadecimal digits
 * @param weight share of an overloaded engine relative to other workspaces
 * @param maxConcurrent maximum number of requests in progress across all instances
 * @param requestsPerSecond maximum request rate across all instances
 */
public record Workspace(
    String name, String keySha256, double weight, int maxConcurrent, double requestsPerSecond) {}
