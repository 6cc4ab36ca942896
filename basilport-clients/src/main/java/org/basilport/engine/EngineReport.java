package org.basilport.engine;

import java.util.List;

/**
 * Load of an engine.
 *
 * @param incarnation number that grows with each restart of the engine
 * @param leaving whether the engine was told to leave
 * @param capacityTokens size of the key-value memory, in tokens
 * @param usedTokens key-value memory in use, in tokens
 * @param waiting number of generations that wait for memory
 * @param preemptions preemptions since the engine started
 * @param medianTokenMillis recent median time between tokens, in milliseconds
 * @param loadedModels models, versions and adapters that are loaded
 * @param running generations that run or wait
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
