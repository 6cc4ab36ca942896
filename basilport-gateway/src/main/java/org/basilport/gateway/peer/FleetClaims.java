package org.basilport.gateway.peer;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * What an instance stores for processes that start later.
 *
 * @param completeIncarnation latest incarnation of the store that is known to be complete
 * @param servedVersions software versions that have served recently, by service
 */
public record FleetClaims(long completeIncarnation, Map<String, Set<String>> servedVersions) {
  /** Claims of an instance that knows nothing. */
  public static final FleetClaims NONE = new FleetClaims(0, Map.of());

  /** Returns the later incarnation and the versions of both. */
  public FleetClaims merge(FleetClaims other) {
    Map<String, Set<String>> versions = new TreeMap<>();
    Stream.of(servedVersions, other.servedVersions)
        .forEach(
            claimed ->
                claimed.forEach(
                    (service, names) ->
                        versions.computeIfAbsent(service, key -> new TreeSet<>()).addAll(names)));
    return new FleetClaims(Math.max(completeIncarnation, other.completeIncarnation), versions);
  }
}
