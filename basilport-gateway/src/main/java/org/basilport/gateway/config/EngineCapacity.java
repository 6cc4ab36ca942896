package org.basilport.gateway.config;

/**
 * What every model engine of a service offers.
 *
 * @param batchSlots generations that an engine processes at once
 * @param memoryTokens key-value memory of an engine, in tokens
 * @param tokensPerEvent output tokens in one event of a stream
 * @param copyNanosPerToken time to copy the memory of one token to another engine of the data
 *     centre
 * @param movesGenerations whether a running generation can be moved to another engine
 */
public record EngineCapacity(
    int batchSlots,
    long memoryTokens,
    int tokensPerEvent,
    double copyNanosPerToken,
    boolean movesGenerations) {}
