package org.basilport.engine;

/**
 * Request for a generation by an engine.
 *
 * @param generationId id of this attempt, unique across all attempts
 * @param workspace workspace that the generation is charged to
 * @param prompt text of the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param priority larger values are preempted later
 */
public record EngineRequest(
    String generationId, String workspace, String prompt, int maxTokens, int priority) {}
