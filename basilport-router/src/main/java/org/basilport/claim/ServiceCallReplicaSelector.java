package org.basilport.claim;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilport.backend.BackendServer;
import org.basilport.backend.BackendView;

/**
 * Selects the replica with the fewest outstanding calls of this instance. Confined to the traffic
 * scheduler.
 */
final class ServiceCallReplicaSelector {
  private final BackendView backends;
  private final Map<String, Integer> outstanding = new HashMap<>();

  ServiceCallReplicaSelector(BackendView backends) {
    this.backends = backends;
  }

  /** Returns a candidate replica, preferring one that was not tried; empty if there is none. */
  Optional<BackendServer> select(String service, Set<String> triedReplicaIds) {
    List<BackendServer> candidates = backends.candidates(service);
    return candidates.stream()
        .min(
            Comparator.comparing((BackendServer server) -> triedReplicaIds.contains(server.id()))
                .thenComparingInt(server -> outstanding.getOrDefault(server.id(), 0)));
  }

  void callStarted(BackendServer server) {
    outstanding.merge(server.id(), 1, Integer::sum);
  }

  void callEnded(BackendServer server) {
    outstanding.computeIfPresent(server.id(), (id, count) -> count == 1 ? null : count - 1);
  }
}
