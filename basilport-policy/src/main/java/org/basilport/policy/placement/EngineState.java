package org.basilport.policy.placement;

import java.util.Set;

/**
 * Reported state of an engine that takes new work.
 *
 * @param id id of the engine
 * @param loaded models, adapters and versions that are loaded
 */
public record EngineState(String id, Set<String> loaded) {}
