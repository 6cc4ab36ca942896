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
 * Chooses the replica with the fewest calls of this instance; confined to the traffic scheduler.
 */
final class ReplicaChoice {
  private final BackendView backends;
  private final Map<String, Integer> outstanding = new HashMap<>();

  ReplicaChoice(BackendView backends) {
    this.backends = backends;
  }

  /** Returns a replica that may receive work, one that was not tried if possible. */
  Optional<BackendServer> choose(String service, Set<String> tried) {
    List<BackendServer> candidates = backends.candidates(service);
    return candidates.stream()
        .min(
            Comparator.comparing((BackendServer server) -> tried.contains(server.id()))
                .thenComparingInt(server -> outstanding.getOrDefault(server.id(), 0)));
  }

  void started(BackendServer server) {
    outstanding.merge(server.id(), 1, Integer::sum);
  }

  void ended(BackendServer server) {
    outstanding.computeIfPresent(server.id(), (id, count) -> count == 1 ? null : count - 1);
  }
}
