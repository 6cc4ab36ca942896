package org.basilport.policy.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Outstanding work of the other instances on each backend server.
 *
 * <p>A report replaces the previous one of the same instance. Only the servers whose work it
 * changes have to be updated, so that the cost of a report does not grow with the fleet. When an
 * engine leaves, the instances move their generations in ascending order of instance id.
 */
public final class PeerWorkTable {
  private final String ownInstance;
  private final Map<String, Map<String, OutstandingWork>> byInstance = new HashMap<>();
  private final Map<String, TreeMap<String, OutstandingWork>> byServer = new HashMap<>();

  /** Creates an empty table for one instance of the fleet. */
  public PeerWorkTable(String ownInstance) {
    this.ownInstance = ownInstance;
  }

  /** Replaces the work of another instance and returns the servers whose work changed. */
  public Set<String> replace(String instance, Map<String, OutstandingWork> workByServer) {
    Map<String, OutstandingWork> previousReport =
        workByServer.isEmpty()
            ? byInstance.remove(instance)
            : byInstance.put(instance, Map.copyOf(workByServer));
    Set<String> changed = new HashSet<>();
    if (previousReport != null) {
      for (String server : previousReport.keySet()) {
        if (!workByServer.containsKey(server)) {
          remove(server, instance);
          changed.add(server);
        }
      }
    }
    workByServer.forEach(
        (server, work) -> {
          OutstandingWork previousWork = previousReport == null ? null : previousReport.get(server);
          if (!work.equals(previousWork)) {
            byServer.computeIfAbsent(server, id -> new TreeMap<>()).put(instance, work);
            changed.add(server);
          }
        });
    return changed;
  }

  private void remove(String server, String instance) {
    Map<String, OutstandingWork> workByInstance = byServer.get(server);
    workByInstance.remove(instance);
    if (workByInstance.isEmpty()) {
      byServer.remove(server);
    }
  }

  /** Sum of the work of all other instances on a server. */
  public OutstandingWork total(String server) {
    return sum(byServer.getOrDefault(server, new TreeMap<>()));
  }

  /** Memory of the generations of instances that precede this one when all move, in tokens. */
  public long precedingMemoryTokens(String server) {
    TreeMap<String, OutstandingWork> workByInstance =
        byServer.getOrDefault(server, new TreeMap<>());
    return sum(workByInstance.headMap(ownInstance)).memoryTokens();
  }

  private static OutstandingWork sum(Map<String, OutstandingWork> workByInstance) {
    return workByInstance.values().stream().reduce(OutstandingWork.NONE, OutstandingWork::plus);
  }
}
