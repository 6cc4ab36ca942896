package org.basilport.bench.policy;

/**
 * A benchmark run of one policy.
 *
 * @param deployment model service and its traffic
 * @param workload load and faults
 * @param candidate policy under comparison
 * @param seed seed of the arrivals and of the policy's random choices
 * @param result values of all measures
 */
public record BenchmarkRun(
    Deployment deployment, Workload workload, Candidate candidate, long seed, RunResult result) {}
