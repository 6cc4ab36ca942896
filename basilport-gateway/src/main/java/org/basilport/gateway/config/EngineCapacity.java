package org.basilport.gateway.config;

/**
 * Capacity of each model engine of a service.
 *
 * @param batchSlots number of generations that an engine processes concurrently
 * @param memoryTokens KV cache capacity of an engine, in tokens
 * @param tokensPerEvent number of output tokens per event of a stream
 * @param copyNanosPerToken time to copy the KV cache of one token to another engine of the same
 *     data centre
 * @param movesGenerations whether running generations can be moved to another engine
 */
public record EngineCapacity(
    int batchSlots,
    long memoryTokens,
    int tokensPerEvent,
    double copyNanosPerToken,
    boolean movesGenerations) {}
