package org.basilport.bench.policy;

import org.basilport.policy.WorkItem;

/**
 * A request of a workload.
 *
 * @param atNanos time at which it arrives
 * @param instance instance that it reaches
 * @param workspace number of the workspace
 * @param item what the policy sees
 * @param prefixTokens length of the shared leading part of the prompt, in tokens
 * @param length number of tokens that the model generates
 */
record Arrival(
    long atNanos, int instance, int workspace, WorkItem item, long prefixTokens, long length) {}
