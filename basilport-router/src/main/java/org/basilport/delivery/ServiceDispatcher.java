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

/** Feeds the policy of one model service and starts the sessions that it places. */
final class ServiceDispatcher {
  private static final Duration PLACEMENT_INTERVAL = Duration.ofMillis(20);
  private static final Duration AVOIDANCE = Duration.ofSeconds(2);

  private final String service;
  private final Scheduler traffic;
  private final BackendView backends;
  private final MembershipView membership;
  private final TrafficMetrics metrics;
  private final GenerationPolicy policy;
  private final Map<String, GenerationSession> waiting = new HashMap<>();
  private final Map<String, Long> avoidedUntil = new HashMap<>();
  private final Map<String, Long> reportedAt = new HashMap<>();
  private boolean tickScheduled;
  private boolean placing;

  ServiceDispatcher(
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

  /** Queues a session; returns false when the queue is full. */
  boolean submit(GenerationSession session, WorkItem item) {
    if (!policy.submit(item, traffic.nanoTime())) {
      return false;
    }
    waiting.put(item.requestId(), session);
    metrics.queueLength(service, 1);
    traffic.execute(this::place);
    return true;
  }

  void withdraw(String requestId) {
    policy.withdraw(requestId);
    if (waiting.remove(requestId) != null) {
      metrics.queueLength(service, -1);
    }
  }

  void progressed(String requestId, long tokens) {
    policy.progressed(requestId, tokens, traffic.nanoTime());
  }

  void finished(String requestId, long tokens, boolean completed) {
    policy.finished(requestId, tokens, completed, traffic.nanoTime());
    traffic.execute(this::place);
  }

  /** Keeps new work away from a backend server that could not be reached, for a short time. */
  void avoid(String serverId) {
    avoidedUntil.put(serverId, traffic.nanoTime() + AVOIDANCE.toNanos());
  }

  void reported(String serverId) {
    reportedAt.put(serverId, traffic.nanoTime());
  }

  long retryAfterMillis() {
    return policy.retryAfterMillis();
  }

  /** Starts what the policy places now, and asks again while work waits. */
  void place() {
    if (placing) {
      return;
    }
    placing = true;
    try {
      long now = traffic.nanoTime();
      policy.updateReplicas(replicas(now), feedingInstances(), now);
      for (Placement placement : policy.place(now)) {
        GenerationSession session = waiting.remove(placement.item().requestId());
        metrics.queueLength(service, -1);
        session.placed(placement);
      }
    } finally {
      placing = false;
    }
    scheduleTick();
  }

  private void scheduleTick() {
    if (!tickScheduled && policy.waitingCount() > 0) {
      tickScheduled = true;
      traffic.schedule(
          PLACEMENT_INTERVAL,
          () -> {
            tickScheduled = false;
            place();
          });
    }
  }

  private int feedingInstances() {
    return (int) Math.max(1, membership.members().stream().filter(Member::serving).count());
  }

  private List<ReplicaState> replicas(long now) {
    avoidedUntil.values().removeIf(until -> until <= now);
    String dataCentre = membership.self().dataCentre();
    List<ReplicaState> states = new ArrayList<>();
    for (BackendServer server : backends.candidates(service)) {
      if (!avoidedUntil.containsKey(server.id())) {
        boolean near = server.dataCentre().equals(dataCentre);
        backends
            .latestReport(server.id())
            .ifPresent(report -> states.add(state(server, near, report, now)));
      }
    }
    return states;
  }

  private ReplicaState state(BackendServer server, boolean near, EngineReport report, long now) {
    int running = Math.max(0, report.running().size() - report.waiting());
    return new ReplicaState(
        server.id(),
        near,
        report.capacityTokens(),
        report.usedTokens(),
        report.waiting(),
        running,
        report.medianTokenMillis(),
        reportedAt.getOrDefault(server.id(), now));
  }
}
