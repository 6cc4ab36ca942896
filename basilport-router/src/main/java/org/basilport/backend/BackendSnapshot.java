package org.basilport.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.basilport.engine.EngineReport;
import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/**
 * Immutable snapshot of the backend servers, for readers on other threads.
 *
 * @param servers all known servers by id
 * @param candidates servers that may receive new work, by service
 * @param reports latest reports of model engines by server id
 */
record BackendSnapshot(
    Map<String, BackendServer> servers,
    Map<String, List<BackendServer>> candidates,
    Map<String, EngineReport> reports) {

  static BackendSnapshot empty() {
    return new BackendSnapshot(Map.of(), Map.of(), Map.of());
  }

  /**
   * Builds a snapshot; fails with an invariant violation if a server marked as leaving would be a
   * candidate.
   *
   * @param isMarkedLeaving whether any source ever announced the incarnation as leaving
   */
  static BackendSnapshot of(
      Collection<BackendRecord> records,
      Predicate<BackendServer> isMarkedLeaving,
      EventSink events) {
    Map<String, BackendServer> servers = new HashMap<>();
    Map<String, List<BackendServer>> candidates = new HashMap<>();
    Map<String, EngineReport> reports = new HashMap<>();
    for (BackendRecord record : records) {
      BackendServer server = record.server();
      servers.put(server.id(), server);
      record.report().ifPresent(report -> reports.put(server.id(), report));
      if (!server.leaving() && !record.refused()) {
        Invariant.check(
            !isMarkedLeaving.test(server),
            events,
            "leaving-server-is-no-candidate",
            server.id() + "@" + server.incarnation());
        candidates.computeIfAbsent(server.service(), s -> new ArrayList<>()).add(server);
      }
    }
    candidates.replaceAll((service, list) -> List.copyOf(list));
    return new BackendSnapshot(Map.copyOf(servers), Map.copyOf(candidates), Map.copyOf(reports));
  }
}
