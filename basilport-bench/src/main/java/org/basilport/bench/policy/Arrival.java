package org.basilport.bench.policy;

import org.basilport.policy.WorkItem;

/**
 * Arrival of one request.
 *
 * @param atNanos arrival time since the start of the run, in nanoseconds
 * @param instance index of the instance that receives the request
 * @param workspace index of the workspace
 * @param item properties of the request that are known to the policy
 * @param prefixTokens length of the shared prompt prefix, in tokens
 * @param length output length, in tokens; unknown to the policy
 */
record Arrival(
    long atNanos, int instance, int workspace, WorkItem item, long prefixTokens, long length) {}
