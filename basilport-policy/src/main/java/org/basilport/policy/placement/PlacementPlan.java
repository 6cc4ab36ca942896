package org.basilport.policy.placement;

import java.util.SortedMap;
import java.util.SortedSet;

/**
 * Target models of all engines.
 *
 * @param targets models that should be loaded, by engine id
 */
public record PlacementPlan(SortedMap<String, SortedSet<String>> targets) {}
