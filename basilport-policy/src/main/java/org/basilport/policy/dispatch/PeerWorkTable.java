package org.basilport.policy.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Work of the other instances on each backend server.
 *
 * <p>Answers the cost of reports in a fleet: each report replaces that of one instance, and only
 * the servers whose work it changes are summed again.
 */
public final class PeerWorkTable {
  private final String ownInstance;
  private final Map<String, Map<String, OutstandingWork>> byInstance = new HashMap<>();
  private final Map<String, TreeMap<String, OutstandingWork>> byServer = new HashMap<>();

  /** Creates the record of a fleet without work, as one of its instances sees it. */
  public PeerWorkTable(String ownInstance) {
    this.ownInstance = ownInstance;
  }

  /** Replaces the work of another instance and returns the servers whose work changed. */
  public Set<String> replace(String instance, Map<String, OutstandingWork> workByServer) {
    Map<String, OutstandingWork> before =
        workByServer.isEmpty()
            ? byInstance.remove(instance)
            : byInstance.put(instance, Map.copyOf(workByServer));
    Set<String> changed = new HashSet<>();
    if (before != null) {
      for (String server : before.keySet()) {
        if (!workByServer.containsKey(server)) {
          remove(server, instance);
          changed.add(server);
        }
      }
    }
    workByServer.forEach(
        (server, share) -> {
          OutstandingWork known = before == null ? null : before.get(server);
          if (!share.equals(known)) {
            byServer.computeIfAbsent(server, id -> new TreeMap<>()).put(instance, share);
            changed.add(server);
          }
        });
    return changed;
  }

  private void remove(String server, String instance) {
    Map<String, OutstandingWork> shares = byServer.get(server);
    shares.remove(instance);
    if (shares.isEmpty()) {
      byServer.remove(server);
    }
  }

  /** Work of all other instances on a server. */
  public OutstandingWork total(String server) {
    return sum(byServer.getOrDefault(server, new TreeMap<>()));
  }

  /** Memory of the generations of instances that go before this one when all move, in tokens. */
  public long precedingMemoryTokens(String server) {
    TreeMap<String, OutstandingWork> shares = byServer.getOrDefault(server, new TreeMap<>());
    return sum(shares.headMap(ownInstance)).memoryTokens();
  }

  private static OutstandingWork sum(Map<String, OutstandingWork> shares) {
    return shares.values().stream().reduce(OutstandingWork.NONE, OutstandingWork::plus);
  }
}
