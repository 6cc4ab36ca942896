package org.basilport.delivery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.basilport.backend.BackendServer;
import org.basilport.backend.BackendView;
import org.basilport.engine.EngineReport;
import org.basilport.membership.Member;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Scheduler;
import org.basilport.policy.GenerationPolicy;
import org.basilport.policy.Placement;
import org.basilport.policy.ReplicaState;
import org.basilport.policy.WorkItem;

/** Queues sessions with the policy of one model service and starts those that it places. */
final class GenerationDispatcher {
  private static final Duration PLACEMENT_INTERVAL = Duration.ofMillis(20);
  private static final Duration AVOIDANCE_DURATION = Duration.ofSeconds(2);

  private final String service;
  private final Scheduler traffic;
  private final BackendView backends;
  private final MembershipView membership;
  private final TrafficMetrics metrics;
  private final GenerationPolicy policy;
  private final Map<String, GenerationSession> waiting = new HashMap<>();
  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
  private final Map<String, Long> reportedAtNanos = new HashMap<>();
  private boolean placementScheduled;
  private boolean placing;

  GenerationDispatcher(
      String service,
      GenerationPolicy policy,
      DeliveryEnvironment environment,
      MembershipView membership) {
    this.service = service;
    this.policy = policy;
    this.traffic = environment.traffic();
    this.backends = environment.backends();
    this.metrics = environment.metrics();
    this.membership = membership;
  }

  /** Queues a session; returns false if the queue is full. */
  boolean submit(GenerationSession session, WorkItem item) {
    if (!policy.submit(item, traffic.nanoTime())) {
      return false;
    }
    waiting.put(item.requestId(), session);
    metrics.adjustQueueLength(service, 1);
    traffic.execute(this::place);
    return true;
  }

  void withdraw(String requestId) {
    policy.withdraw(requestId);
    if (waiting.remove(requestId) != null) {
      metrics.adjustQueueLength(service, -1);
    }
  }

  void recordProgress(String requestId, long tokens) {
    policy.progressed(requestId, tokens, traffic.nanoTime());
  }

  void recordFinish(String requestId, long tokens, boolean completed) {
    policy.finished(requestId, tokens, completed, traffic.nanoTime());
    traffic.execute(this::place);
  }

  /** Excludes a backend server that could not be reached from placement for a short time. */
  void avoid(String serverId) {
    avoidedUntilNanos.put(serverId, traffic.nanoTime() + AVOIDANCE_DURATION.toNanos());
  }

  void recordReport(String serverId) {
    reportedAtNanos.put(serverId, traffic.nanoTime());
  }

  long retryAfterMillis() {
    return policy.retryAfterMillis();
  }

  /** Starts the sessions that the policy places now, and reschedules itself while others wait. */
  void place() {
    if (placing) {
      return;
    }
    placing = true;
    try {
      long now = traffic.nanoTime();
      policy.updateReplicas(replicas(now), servingInstances(), now);
      for (Placement placement : policy.place(now)) {
        GenerationSession session = waiting.remove(placement.item().requestId());
        metrics.adjustQueueLength(service, -1);
        session.onPlacement(placement);
      }
    } finally {
      placing = false;
    }
    schedulePlacement();
  }

  private void schedulePlacement() {
    if (!placementScheduled && policy.queuedCount() > 0) {
      placementScheduled = true;
      traffic.schedule(
          PLACEMENT_INTERVAL,
          () -> {
            placementScheduled = false;
            place();
          });
    }
  }

  private int servingInstances() {
    return (int) Math.max(1, membership.members().stream().filter(Member::serving).count());
  }

  private List<ReplicaState> replicas(long now) {
    avoidedUntilNanos.values().removeIf(until -> until <= now);
    String dataCentre = membership.self().dataCentre();
    List<ReplicaState> states = new ArrayList<>();
    for (BackendServer server : backends.candidates(service)) {
      if (!avoidedUntilNanos.containsKey(server.id())) {
        boolean sameDataCentre = server.dataCentre().equals(dataCentre);
        backends
            .latestReport(server.id())
            .ifPresent(report -> states.add(state(server, sameDataCentre, report, now)));
      }
    }
    return states;
  }

  private ReplicaState state(
      BackendServer server, boolean sameDataCentre, EngineReport report, long now) {
    int running = Math.max(0, report.running().size() - report.waiting());
    return new ReplicaState(
        server.id(),
        sameDataCentre,
        report.capacityTokens(),
        report.usedTokens(),
        report.waiting(),
        running,
        report.medianTokenMillis(),
        reportedAtNanos.getOrDefault(server.id(), now));
  }
}
