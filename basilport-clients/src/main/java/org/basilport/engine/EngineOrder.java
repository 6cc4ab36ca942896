package org.basilport.engine;

import java.util.List;

/**
 * Desired state of an engine. An order states it in full, so that orders are idempotent.
 *
 * @param fencingToken version of the lease object that authorizes the order
 * @param role role of the engine, for example "decode"
 * @param models models, versions and adapters to load
 */
public record EngineOrder(long fencingToken, String role, List<String> models) {}
