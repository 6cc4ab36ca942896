package org.basilport.policy.placement;

import java.util.SortedMap;
import java.util.SortedSet;

/**
 * The full target of each engine.
 *
 * @param targets models that should be loaded, by engine
 */
public record PlacementPlan(SortedMap<String, SortedSet<String>> targets) {}
