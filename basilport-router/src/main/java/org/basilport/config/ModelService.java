package org.basilport.config;

/**
 * Service of model engines.
 *
 * @param name name of the service in the instance directory
 * @param model model that its engines serve
 * @param replicas planned number of engines
 * @param fencing whether the engines reject orders with an outdated fencing token
 * @param objective weights of the metrics that the service's policy minimises
 * @param queueLimit maximum number of generations queued at one instance
 * @param admissionRisk accepted probability that admitted work exceeds the memory of an engine
 * @param maxTokens maximum output of a generation, in tokens
 */
public record ModelService(
    String name,
    String model,
    int replicas,
    FencingMode fencing,
    Objective objective,
    int queueLimit,
    double admissionRisk,
    int maxTokens) {}
