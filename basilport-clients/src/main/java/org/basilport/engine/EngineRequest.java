package org.basilport.engine;

/**
 * A generation for an engine.
 *
 * @param generationId id of this attempt, unique over all attempts
 * @param workspace workspace that pays for the generation
 * @param prompt text of the prompt
 * @param maxTokens largest number of tokens to generate
 * @param priority larger values are preempted later
 */
public record EngineRequest(
    String generationId, String workspace, String prompt, int maxTokens, int priority) {}
