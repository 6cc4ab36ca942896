package org.basilport.delivery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.GenerationPolicy;
import org.basilport.policy.Placement;
import org.basilport.policy.PolicySettings;
import org.basilport.policy.ReplicaState;
import org.basilport.policy.WorkItem;

/**
 * Places generations in order of arrival, streamed ones first, on the replica with the fewest
 * outstanding generations of this instance.
 */
public final class FifoGenerationPolicy implements GenerationPolicy {
  private static final int STREAMED_PRIORITY = 100;
  private static final int DEFERRED_PRIORITY = 10;
  private static final int MAX_OUTSTANDING_PER_REPLICA = 256;
  private static final long RETRY_AFTER_MILLIS = 500;

  private final int queueLimit;
  private final Deque<WorkItem> streamed = new ArrayDeque<>();
  private final Deque<WorkItem> deferred = new ArrayDeque<>();
  private final Map<String, String> serverByRequest = new HashMap<>();
  private final Map<String, Integer> outstanding = new HashMap<>();
  private Map<String, ReplicaState> replicas = new LinkedHashMap<>();

  /** Creates a policy; only the queue limit of the settings is used. */
  public FifoGenerationPolicy(PolicySettings settings) {
    this.queueLimit = settings.queueLimit();
  }

  @Override
  public boolean submit(WorkItem item, long nowNanos) {
    if (queuedCount() >= queueLimit) {
      return false;
    }
    boolean isStreamed = item.generationClass() == GenerationClass.STREAMED;
    (isStreamed ? streamed : deferred).add(item);
    return true;
  }

  @Override
  public boolean withdraw(String requestId) {
    return streamed.removeIf(item -> item.requestId().equals(requestId))
        || deferred.removeIf(item -> item.requestId().equals(requestId));
  }

  @Override
  public List<Placement> place(long nowNanos) {
    List<Placement> placements = new ArrayList<>();
    while (queuedCount() > 0) {
      Optional<String> server = leastOutstanding();
      if (server.isEmpty()) {
        break;
      }
      boolean fromStreamed = !streamed.isEmpty();
      WorkItem item = fromStreamed ? streamed.remove() : deferred.remove();
      serverByRequest.put(item.requestId(), server.get());
      outstanding.merge(server.get(), 1, Integer::sum);
      int priority = fromStreamed ? STREAMED_PRIORITY : DEFERRED_PRIORITY;
      placements.add(new Placement(item, server.get(), priority));
    }
    return placements;
  }

  @Override
  public void progressed(String requestId, long generatedTokens, long nowNanos) {}

  @Override
  public void finished(String requestId, long generatedTokens, boolean completed, long nowNanos) {
    String server = serverByRequest.remove(requestId);
    if (server != null) {
      outstanding.computeIfPresent(server, (id, count) -> count == 1 ? null : count - 1);
    }
  }

  @Override
  public void updateReplicas(List<ReplicaState> states, int placingInstances, long nowNanos) {
    Map<String, ReplicaState> next = new LinkedHashMap<>();
    states.forEach(state -> next.put(state.serverId(), state));
    replicas = next;
  }

  @Override
  public int queuedCount() {
    return streamed.size() + deferred.size();
  }

  @Override
  public long retryAfterMillis() {
    return RETRY_AFTER_MILLIS;
  }

  private Optional<String> leastOutstanding() {
    String best = null;
    int fewest = MAX_OUTSTANDING_PER_REPLICA;
    for (String server : replicas.keySet()) {
      int count = outstanding.getOrDefault(server, 0);
      if (count < fewest) {
        fewest = count;
        best = server;
      }
    }
    return Optional.ofNullable(best);
  }
}
