package org.basilport.policy;

import java.util.Map;

/**
 * Settings of the policy of one model service.
 *
 * @param service name of the service
 * @param model model that the service runs
 * @param queueLimit maximum number of queued generations
 * @param admissionRisk accepted probability that admitted generations outgrow an engine's memory
 * @param stallWeight weight of stall time in the objective
 * @param tokenGapWeight weight of the tail of the time between tokens in the objective
 * @param preemptionWeight weight of preemptions in the objective
 * @param workspaceWeights fair-share weight by workspace; 1 for a workspace that is not listed
 */
public record PolicySettings(
    String service,
    String model,
    int queueLimit,
    double admissionRisk,
    double stallWeight,
    double tokenGapWeight,
    double preemptionWeight,
    Map<String, Double> workspaceWeights) {}
