package org.basilport.delivery;

/**
 * A caller's generation.
 *
 * @param route route of the generation
 * @param prompt text of the prompt
 * @param maxTokens largest number of tokens to generate
 */
public record GenerationRequest(String route, String prompt, int maxTokens) {}
