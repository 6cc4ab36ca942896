package org.basilport.policy.placement;

import java.util.Set;

/**
 * What an engine that takes new work reported.
 *
 * @param id name of the engine
 * @param loaded models, adapters and versions that are loaded
 */
public record EngineState(String id, Set<String> loaded) {}
