package org.basilport.config;

/**
 * Weights of the metrics that the policy of a service minimises; only their ratios matter.
 *
 * @param stallTime weight of the time during which streams stall
 * @param tokenGapTail weight of the 99th percentile of the time between tokens
 * @param preemptions weight of preemptions
 */
public record Objective(double stallTime, double tokenGapTail, double preemptions) {}
