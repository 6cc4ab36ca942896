package org.basilport.bench.soak;

import java.util.Optional;

/**
 * Result of a randomised run.
 *
 * @param seed seed of the run
 * @param steps scheduler steps that ran
 * @param virtualSeconds virtual time that passed, in seconds
 * @param traceHash hash over what callers saw, equal for equal seeds
 * @param counts what happened
 * @param violation the guarantee that was broken, empty when all held
 * @param timeline events before the violation, one a line, empty without one
 */
public record SoakReport(
    long seed,
    long steps,
    double virtualSeconds,
    long traceHash,
    SoakCounts counts,
    Optional<String> violation,
    String timeline) {}
