package org.basilport.engine;

/**
 * A running or waiting generation in the load report of an engine.
 *
 * @param generationId id of the attempt
 * @param workspace workspace that the generation is charged to
 * @param heldTokens prompt and generated tokens in the KV cache
 * @param generatedTokens number of tokens generated so far
 * @param unattachedMillis time without an attached reader, in milliseconds; 0 while one is attached
 */
public record RunningGeneration(
    String generationId,
    String workspace,
    long heldTokens,
    long generatedTokens,
    long unattachedMillis) {}
