package org.basilport.engine;

import java.util.List;

/**
 * The full state that an engine should reach, so that a repeated order has no further effect.
 *
 * @param fencingToken version of the duty object under which the order was given
 * @param role role of the engine, for example "decode"
 * @param models models, versions and adapters that should be loaded
 */
public record EngineOrder(long fencingToken, String role, List<String> models) {}
