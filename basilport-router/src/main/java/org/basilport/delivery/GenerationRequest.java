package org.basilport.delivery;

/**
 * A request for a generation.
 *
 * @param route route of the generation
 * @param prompt text of the prompt
 * @param maxTokens maximum number of tokens to generate
 */
public record GenerationRequest(String route, String prompt, int maxTokens) {}
