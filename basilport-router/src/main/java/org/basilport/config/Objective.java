package org.basilport.config;

/**
 * Weights of the measures that a service's policy minimises; only their ratios matter.
 *
 * @param stallTime weight of the time that streams stand still
 * @param tokenGapTail weight of the 99th percentile of the time between tokens
 * @param preemptions weight of preemptions
 */
public record Objective(double stallTime, double tokenGapTail, double preemptions) {}
