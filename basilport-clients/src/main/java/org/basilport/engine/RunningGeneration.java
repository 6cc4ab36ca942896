package org.basilport.engine;

/**
 * A generation in an engine's report.
 *
 * @param generationId id of the attempt
 * @param workspace workspace that pays for the generation
 * @param heldTokens prompt and generated tokens in key-value memory
 * @param generatedTokens tokens generated so far
 * @param unattachedMillis how long no reader has been attached, 0 when one is
 */
public record RunningGeneration(
    String generationId,
    String workspace,
    long heldTokens,
    long generatedTokens,
    long unattachedMillis) {}
