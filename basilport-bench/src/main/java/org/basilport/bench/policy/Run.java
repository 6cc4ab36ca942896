package org.basilport.bench.policy;

/**
 * One run of one policy.
 *
 * @param deployment model service
 * @param workload traffic and faults
 * @param candidate policy
 * @param seed seed of arrivals and choices
 * @param result measures
 */
public record Run(
    Deployment deployment, Workload workload, Candidate candidate, long seed, RunResult result) {}
