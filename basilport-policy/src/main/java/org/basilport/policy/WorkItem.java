package org.basilport.policy;

/**
 * A generation that asks for admission.
 *
 * @param requestId id of the request
 * @param workspace workspace that pays
 * @param route route of the request
 * @param model model that is asked
 * @param generationClass how urgent it is
 * @param promptTokens length of the prompt, in tokens
 * @param maxTokens largest number of tokens to generate
 * @param prefixHash hash of the prompt's leading part, for cache affinity
 * @param attempt number of this attempt, counted from 1
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
