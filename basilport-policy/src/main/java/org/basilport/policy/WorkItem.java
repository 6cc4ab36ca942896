package org.basilport.policy;

/**
 * A generation that is submitted to a policy.
 *
 * @param requestId id of the request
 * @param workspace workspace that is charged for the generation
 * @param route route of the request
 * @param model requested model
 * @param generationClass latency class
 * @param promptTokens length of the prompt, in tokens
 * @param maxTokens maximum number of output tokens
 * @param prefixHash hash of the prompt's prefix, for cache affinity
 * @param attempt number of this attempt, starting at 1
 */
public record WorkItem(
    String requestId,
    String workspace,
    String route,
    String model,
    GenerationClass generationClass,
    long promptTokens,
    long maxTokens,
    long prefixHash,
    int attempt) {}
