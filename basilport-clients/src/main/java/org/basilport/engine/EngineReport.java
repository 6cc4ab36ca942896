package org.basilport.engine;

import java.util.List;

/**
 * Load report of an engine.
 *
 * @param incarnation number that increases with each restart of the engine
 * @param leaving whether the engine is leaving
 * @param capacityTokens capacity of the KV cache, in tokens
 * @param usedTokens used part of the KV cache, in tokens
 * @param waiting number of generations that wait for KV cache space
 * @param preemptions preemptions since the engine started
 * @param medianTokenMillis recent median time between tokens, in milliseconds
 * @param loadedModels loaded models, versions and adapters
 * @param running running and waiting generations
 * @param cacheSequence sequence number of the latest cache event
 */
public record EngineReport(
    long incarnation,
    boolean leaving,
    long capacityTokens,
    long usedTokens,
    int waiting,
    long preemptions,
    double medianTokenMillis,
    List<String> loadedModels,
    List<RunningGeneration> running,
    long cacheSequence) {}
