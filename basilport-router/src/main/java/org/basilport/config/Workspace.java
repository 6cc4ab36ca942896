package org.basilport.config;

/**
 * A customer of the site.
 *
 * @param name name of the workspace
 * @param keySha256 SHA-256 hash of the workspace's key, in lower-case hexadecimal digits
 * @param weight share of a crowded engine relative to other workspaces
 * @param maxConcurrent largest number of requests in progress over all instances
 * @param requestsPerSecond largest rate of requests over all instances
 */
public record Workspace(
    String name, String keySha256, double weight, int maxConcurrent, double requestsPerSecond) {}
