package org.basilport.config;

/**
 * A service of model engines.
 *
 * @param name name of the service, as in the instance list
 * @param model model that its engines serve
 * @param replicas number of engines that are planned
 * @param fencing whether the engines refuse orders with an old fencing token
 * @param objective weights of the service's measures
 * @param queueLimit largest number of generations that wait at one instance
 * @param admissionRisk accepted probability that admitted work outgrows an engine's memory
 * @param maxTokens largest output of a generation, in tokens
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
