package org.basilport.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.basilport.policy.routing.ReplicaLoad;
import org.basilport.policy.routing.ReplicaSelector;

/**
 * Places each generation immediately on the replica that a selector returns, without admission
 * control.
 *
 * <p>This is the baseline of the policy benchmark. Generations wait only while there is no replica.
 */
public final class DirectGenerationPolicy implements GenerationPolicy {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final ReplicaSelector selector;
  private final int queueLimit;
  private final ArrayDeque<WorkItem> queue = new ArrayDeque<>();
  private final Map<String, Replica> running = new HashMap<>();
  private List<Replica> replicas = List.of();

  /**
   * Creates a policy.
   *
   * @param queueLimit maximum number of queued generations
   */
  public DirectGenerationPolicy(ReplicaSelector selector, int queueLimit) {
    this.selector = selector;
    this.queueLimit = queueLimit;
  }

  @Override
  public boolean submit(WorkItem item, long nowNanos) {
    return queue.size() < queueLimit && queue.add(item);
  }

  @Override
  public boolean withdraw(String requestId) {
    return queue.removeIf(item -> item.requestId().equals(requestId));
  }

  @Override
  public List<Placement> place(long nowNanos) {
    if (replicas.isEmpty() || queue.isEmpty()) {
      return List.of();
    }
    List<Placement> placements = new ArrayList<>(queue.size());
    for (Iterator<WorkItem> iterator = queue.iterator(); iterator.hasNext(); ) {
      WorkItem item = iterator.next();
      Replica replica = replicas.get(selector.select(item, replicas, position -> true));
      replica.outstanding++;
      running.put(item.requestId(), replica);
      placements.add(new Placement(item, replica.serverId, 0));
      iterator.remove();
    }
    return placements;
  }

  @Override
  public void progressed(String requestId, long generatedTokens, long nowNanos) {}

  @Override
  public void finished(String requestId, long generatedTokens, boolean completed, long nowNanos) {
    Replica replica = running.remove(requestId);
    if (replica != null) {
      replica.outstanding--;
    }
  }

  @Override
  public void updateReplicas(List<ReplicaState> states, int placingInstances, long nowNanos) {
    Map<String, Replica> known = new HashMap<>();
    for (Replica replica : replicas) {
      known.put(replica.serverId, replica);
    }
    List<Replica> next = new ArrayList<>(states.size());
    for (ReplicaState state : states) {
      Replica replica = known.get(state.serverId());
      next.add(replica != null ? replica : new Replica(state.serverId()));
    }
    replicas = next;
  }

  @Override
  public int queuedCount() {
    return queue.size();
  }

  @Override
  public long retryAfterMillis() {
    return RETRY_AFTER_MILLIS;
  }

  private static final class Replica implements ReplicaLoad {
    private final String serverId;
    private int outstanding;

    Replica(String serverId) {
      this.serverId = serverId;
    }

    @Override
    public String serverId() {
      return serverId;
    }

    @Override
    public int outstanding() {
      return outstanding;
    }

    @Override
    public boolean sameDataCentre() {
      return true;
    }

    @Override
    public double load() {
      return 0;
    }

    @Override
    public double medianTokenMillis() {
      return 0;
    }
  }
}
