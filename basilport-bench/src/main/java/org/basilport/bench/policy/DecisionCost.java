package org.basilport.bench.policy;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.basilport.policy.AdaptiveGenerationPolicyFactory;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.GenerationPolicy;
import org.basilport.policy.Placement;
import org.basilport.policy.PolicySettings;
import org.basilport.policy.ReplicaState;
import org.basilport.policy.WorkItem;

/** Measures processor time and allocation of the adaptive policy's decisions for a fleet size. */
final class DecisionCost {
  private static final long CAPACITY_TOKENS = 120_000;
  private static final int GENERATIONS_PER_REPLICA = 4;
  private static final int PLACING_INSTANCES = 6;
  private static final int ROUTE_COUNT = 2;
  private static final int WARM_UP_ROUNDS = 6;
  private static final int REPORTS_PER_ROUND = 50;
  private static final long STEP_NANOS = 1_000_000L;
  private static final long PROMPT_TOKENS = 600;
  private static final long MAX_TOKENS = 2_000;
  private static final long OUTPUT_TOKENS = 300;

  private final int replicas;
  private final int workspaces;
  private final GenerationPolicy policy;
  private final ArrayDeque<Placement> running = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private final ThreadMXBean threadBean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private long now;
  private long nextId;

  DecisionCost(int replicas, int workspaces) {
    this.replicas = replicas;
    this.workspaces = workspaces;
    PolicySettings settings = new PolicySettings("s", "m", 100_000, 0.05, 1, 1, 1, Map.of());
    policy = new AdaptiveGenerationPolicyFactory().create(settings, random.split());
  }

  /**
   * Returns the costs per call in the last round, after the warm-up rounds: progress of a running
   * generation, end of a generation with the start of another, and load reports of all replicas.
   */
  List<Cost> measure(int decisions) {
    deliverReport();
    start(createItems(GENERATIONS_PER_REPLICA * replicas));
    List<Cost> costs = List.of();
    for (int i = 0; i <= WARM_UP_ROUNDS; i++) {
      costs = measureRound(decisions);
    }
    return costs;
  }

  private List<Cost> measureRound(int decisions) {
    List<WorkItem> items = createItems(decisions);
    List<Placement> placements = new ArrayList<>(running);
    List<Cost> costs = new ArrayList<>();
    costs.add(measure("progress", placements.size(), () -> progress(placements)));
    costs.add(measure("end and start", decisions, () -> replace(items)));
    costs.add(measure("reports of all replicas", REPORTS_PER_ROUND, this::deliverReports));
    return costs;
  }

  private Cost measure(String name, int count, Runnable work) {
    long threadId = Thread.currentThread().getId();
    long bytes = threadBean.getThreadAllocatedBytes(threadId);
    long nanos = threadBean.getCurrentThreadCpuTime();
    work.run();
    nanos = threadBean.getCurrentThreadCpuTime() - nanos;
    bytes = threadBean.getThreadAllocatedBytes(threadId) - bytes;
    return new Cost(name, nanos / 1e3 / count, (double) bytes / count);
  }

  private List<WorkItem> createItems(int count) {
    List<WorkItem> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int workspace = random.nextInt(workspaces);
      items.add(
          new WorkItem(
              "r" + nextId++,
              "w" + workspace,
              "route" + i % ROUTE_COUNT,
              "m",
              GenerationClass.STREAMED,
              PROMPT_TOKENS,
              MAX_TOKENS,
              workspace,
              1));
    }
    return items;
  }

  private void start(List<WorkItem> items) {
    for (WorkItem item : items) {
      policy.submit(item, now);
      running.addAll(policy.place(now));
    }
  }

  private void replace(List<WorkItem> items) {
    for (WorkItem item : items) {
      now += STEP_NANOS;
      Placement ended = running.poll();
      if (ended != null) {
        policy.finished(ended.item().requestId(), OUTPUT_TOKENS, true, now);
      }
      policy.submit(item, now);
      running.addAll(policy.place(now));
    }
  }

  private void progress(List<Placement> placements) {
    now += STEP_NANOS;
    for (Placement placement : placements) {
      policy.progressed(placement.item().requestId(), OUTPUT_TOKENS / 2, now);
    }
  }

  private void deliverReports() {
    for (int i = 0; i < REPORTS_PER_ROUND; i++) {
      deliverReport();
    }
  }

  private void deliverReport() {
    List<ReplicaState> states = new ArrayList<>(replicas);
    for (int i = 0; i < replicas; i++) {
      states.add(
          new ReplicaState(
              "e" + i, i % 3 == 0, CAPACITY_TOKENS, CAPACITY_TOKENS / 2, 0, 20, 30, now, now));
    }
    policy.updateReplicas(states, PLACING_INSTANCES, now);
  }

  /**
   * Average cost of one kind of call.
   *
   * @param name name of the call in the output
   * @param micros processor time per call, in microseconds
   * @param bytes allocation per call, in bytes
   */
  record Cost(String name, double micros, double bytes) {}
}
