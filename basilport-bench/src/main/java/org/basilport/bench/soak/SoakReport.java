package org.basilport.bench.soak;

import java.util.Optional;

/**
 * Result of a soak run.
 *
 * @param seed seed of the run
 * @param steps number of executed scheduler steps
 * @param virtualSeconds elapsed virtual time, in seconds
 * @param traceHash hash over the observations of all callers; equal for runs with equal settings
 * @param counts counters of requests, failures and faults
 * @param violation description of the violated guarantee, empty when all were met
 * @param timeline events and faults before the violation, one per line, empty without a violation
 */
public record SoakReport(
    long seed,
    long steps,
    double virtualSeconds,
    long traceHash,
    SoakCounters counts,
    Optional<String> violation,
    String timeline) {}
