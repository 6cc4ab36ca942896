package org.basilport.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.basilport.policy.GenerationClass;
import org.basilport.policy.GenerationPolicy;
import org.basilport.policy.GenerationPolicyFactory;
import org.basilport.policy.Placement;
import org.basilport.policy.PolicySettings;
import org.basilport.policy.ReplicaState;
import org.basilport.policy.WorkItem;

/**
 * Simulates one workload with one policy on a virtual clock.
 *
 * <p>Several instances, each with its own policy object, place generations on the same engines.
 */
final class PolicySimulation implements EngineListener {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long REPORT_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;
  private static final long TICK_INTERVAL_NANOS = 20 * NANOS_PER_MILLI;

  /** Time after which a crashed replica is removed from the instance directory. */
  private static final long FAILURE_DETECTION_NANOS = 2 * NANOS_PER_SECOND;

  private static final double SLOWDOWN_FACTOR = 3;
  private static final double SERVICE_PER_TOKEN_SECOND = 0.01;
  private static final double SERVICE_PER_PROMPT_TOKEN = 0.1;

  private final Workload workload;
  private final List<Arrival> arrivals;
  private final BenchmarkSettings settings;
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final List<EngineModel> engines = new ArrayList<>();
  private final Map<String, EngineModel> enginesById = new HashMap<>();
  private final boolean[] stepping;
  private final boolean[] crashed;
  private final GenerationPolicy[] policies = new GenerationPolicy[ArrivalGenerator.INSTANCES];
  private final Map<String, Generation> generations = new HashMap<>();
  private final List<ArrayDeque<ReplicaState>> snapshots = new ArrayList<>();
  private final MetricsCollector metrics = new MetricsCollector();
  private final FairnessProbe fairness;
  private final FairnessProbe[] instanceFairness = new FairnessProbe[ArrivalGenerator.INSTANCES];
  private final int[] pendingByWorkspace = new int[ArrivalGenerator.WORKSPACES];
  private final int[][] pendingByInstance =
      new int[ArrivalGenerator.INSTANCES][ArrivalGenerator.WORKSPACES];
  private final SplittableRandom faultRandom;
  private long now;
  private long sequence;
  private int nextArrival;
  private long crashNanos = Long.MAX_VALUE;

  PolicySimulation(
      Deployment deployment,
      Workload workload,
      List<Arrival> arrivals,
      GenerationPolicyFactory factory,
      BenchmarkSettings settings,
      long seed) {
    this.workload = workload;
    this.arrivals = arrivals;
    this.settings = settings;
    SplittableRandom random = new SplittableRandom(seed);
    this.faultRandom = random.split();
    this.fairness = new FairnessProbe(ArrivalGenerator.weights());
    Arrays.setAll(instanceFairness, i -> new FairnessProbe(ArrivalGenerator.weights()));
    for (int i = 0; i < deployment.replicas(); i++) {
      boolean slow = workload.slowReplica() && i == 1;
      EngineModel engine =
          new EngineModel(
              "e" + i,
              i % ArrivalGenerator.DATA_CENTRES,
              settings.engine(),
              slow ? SLOWDOWN_FACTOR : 1,
              this);
      engines.add(engine);
      enginesById.put(engine.id(), engine);
      snapshots.add(new ArrayDeque<>());
    }
    this.stepping = new boolean[engines.size()];
    this.crashed = new boolean[engines.size()];
    PolicySettings policySettings = settings.policySettings(deployment);
    for (int i = 0; i < policies.length; i++) {
      policies[i] = factory.create(policySettings, random.split());
    }
  }

  RunResult run() {
    long end = settings.duration().toNanos();
    schedule(settings.warmUp().toNanos(), metrics::activate);
    schedule(0, this::deliverReports);
    schedule(0, this::tick);
    schedule(NANOS_PER_SECOND, this::sample);
    if (workload.crashingReplica()) {
      schedule(end / 2, () -> crashEngine(2));
    }
    if (!arrivals.isEmpty()) {
      schedule(arrivals.get(0).atNanos(), this::submitNextArrival);
    }
    while (!tasks.isEmpty() && tasks.peek().due <= end) {
      Task task = tasks.remove();
      now = task.due;
      task.action.run();
    }
    return metrics.result((end - settings.warmUp().toNanos()) / (double) NANOS_PER_SECOND);
  }

  private void schedule(long due, Runnable action) {
    tasks.add(new Task(due, sequence++, action));
  }

  private void submitNextArrival() {
    Arrival arrival = arrivals.get(nextArrival++);
    metrics.recordArrival();
    submit(arrival, arrival.item());
    if (nextArrival < arrivals.size()) {
      schedule(arrivals.get(nextArrival).atNanos(), this::submitNextArrival);
    }
  }

  private void submit(Arrival arrival, WorkItem item) {
    Generation generation = new Generation(arrival, item);
    if (policies[arrival.instance()].submit(item, now)) {
      generations.put(item.requestId(), generation);
      adjustPending(arrival, 1);
      place(arrival.instance());
    } else {
      metrics.recordRefusal();
    }
  }

  private void place(int instance) {
    for (Placement placement : policies[instance].place(now)) {
      Generation generation = generations.get(placement.item().requestId());
      EngineModel engine = enginesById.get(placement.serverId());
      int index = engines.indexOf(engine);
      if (crashed[index]) {
        fail(generation);
        continue;
      }
      engine.add(generation, placement.priority());
      step(index);
    }
  }

  private void step(int index) {
    EngineModel engine = engines.get(index);
    if (stepping[index] || crashed[index] || engine.idle()) {
      return;
    }
    stepping[index] = true;
    schedule(
        engine.startStep(now),
        () -> {
          stepping[index] = false;
          if (!crashed[index]) {
            engine.endStep(now);
            step(index);
          }
        });
  }

  private void tick() {
    for (int i = 0; i < policies.length; i++) {
      if (policies[i].queuedCount() > 0) {
        place(i);
      }
    }
    schedule(now + TICK_INTERVAL_NANOS, this::tick);
  }

  private void deliverReports() {
    List<ReplicaState> visible = new ArrayList<>();
    long visibleFromNanos = now - workload.lagMillis() * NANOS_PER_MILLI;
    for (int i = 0; i < engines.size(); i++) {
      ArrayDeque<ReplicaState> states = snapshots.get(i);
      if (!crashed[i]) {
        states.add(snapshot(engines.get(i)));
      }
      while (states.size() > 1 && states.peek().measuredAtNanos() < visibleFromNanos) {
        states.remove();
      }
      if (!crashed[i] || now < crashNanos + FAILURE_DETECTION_NANOS) {
        visible.add(states.peek());
      }
    }
    for (int instance = 0; instance < policies.length; instance++) {
      policies[instance].updateReplicas(statesSeenBy(instance, visible), policies.length, now);
    }
    schedule(now + REPORT_INTERVAL_NANOS, this::deliverReports);
  }

  private List<ReplicaState> statesSeenBy(int instance, List<ReplicaState> states) {
    int dataCentre = instance / (ArrivalGenerator.INSTANCES / ArrivalGenerator.DATA_CENTRES);
    List<ReplicaState> seen = new ArrayList<>(states.size());
    for (ReplicaState state : states) {
      seen.add(
          new ReplicaState(
              state.serverId(),
              enginesById.get(state.serverId()).dataCentre() == dataCentre,
              state.capacityTokens(),
              state.usedTokens(),
              state.waiting(),
              state.running(),
              state.medianTokenMillis(),
              now,
              workload.ageKnown() ? state.measuredAtNanos() : now));
    }
    return seen;
  }

  private ReplicaState snapshot(EngineModel engine) {
    return new ReplicaState(
        engine.id(),
        true,
        settings.engine().capacityTokens(),
        engine.usedTokens(),
        engine.waitingCount(),
        engine.runningCount(),
        engine.medianStepMillis(),
        now,
        now);
  }

  private void sample() {
    for (int i = 0; i < engines.size(); i++) {
      if (!crashed[i]) {
        metrics.recordMemoryUse(
            engines.get(i).usedTokens() / (double) settings.engine().capacityTokens());
      }
    }
    metrics.recordFairnessGap(fairness.sample(pendingByWorkspace));
    for (int i = 0; i < instanceFairness.length; i++) {
      metrics.recordInstanceFairnessGap(instanceFairness[i].sample(pendingByInstance[i]));
    }
    schedule(now + NANOS_PER_SECOND, this::sample);
  }

  private void crashEngine(int index) {
    crashed[index] = true;
    crashNanos = now;
    List<Generation> lost = engines.get(index).crash();
    lost.forEach(this::fail);
  }

  private void fail(Generation generation) {
    String id = generation.item.requestId();
    Arrival arrival = generation.arrival;
    policies[arrival.instance()].finished(id, generation.generatedTokens, false, now);
    generations.remove(id);
    if (generation.firstTokenNanos == Generation.NEVER) {
      adjustPending(arrival, -1);
    }
    boolean repeatable =
        generation.generatedTokens == 0
            || generation.item.generationClass() == GenerationClass.DEFERRED;
    if (repeatable) {
      schedule(now + NANOS_PER_SECOND, () -> submit(arrival, nextAttempt(generation.item)));
    }
    if (generation.generatedTokens > 0) {
      metrics.recordLoss(generation);
    }
  }

  private static WorkItem nextAttempt(WorkItem item) {
    return new WorkItem(
        item.requestId(),
        item.workspace(),
        item.route(),
        item.model(),
        item.generationClass(),
        item.promptTokens(),
        item.maxTokens(),
        item.prefixHash(),
        item.attempt() + 1);
  }

  @Override
  public void firstToken(Generation generation, long nowNanos) {
    metrics.recordFirstToken(generation, nowNanos);
    adjustPending(generation.arrival, -1);
    recordService(generation.arrival, SERVICE_PER_PROMPT_TOKEN * generation.item.promptTokens());
    generation.lastChargeNanos = nowNanos;
  }

  @Override
  public void tokensProduced(long gapNanos, int count, int streamedCount) {
    metrics.recordGap(gapNanos, count, streamedCount);
  }

  @Override
  public void progressed(Generation generation, long nowNanos) {
    recordProgress(generation, nowNanos);
    policies[generation.arrival.instance()].progressed(
        generation.item.requestId(), generation.generatedTokens, nowNanos);
  }

  @Override
  public void finished(Generation generation, long nowNanos) {
    recordProgress(generation, nowNanos);
    String id = generation.item.requestId();
    generations.remove(id);
    int instance = generation.arrival.instance();
    policies[instance].finished(id, generation.generatedTokens, true, nowNanos);
    if (policies[instance].queuedCount() > 0) {
      place(instance);
    }
  }

  private void adjustPending(Arrival arrival, int change) {
    pendingByWorkspace[arrival.workspace()] += change;
    pendingByInstance[arrival.instance()][arrival.workspace()] += change;
  }

  private void recordService(Arrival arrival, double service) {
    fairness.recordService(arrival.workspace(), service);
    instanceFairness[arrival.instance()].recordService(arrival.workspace(), service);
  }

  private void recordProgress(Generation generation, long nowNanos) {
    long tokens = generation.generatedTokens - generation.deliveredTokens;
    double seconds = (nowNanos - generation.lastChargeNanos) / (double) NANOS_PER_SECOND;
    generation.deliveredTokens = generation.generatedTokens;
    generation.lastChargeNanos = nowNanos;
    metrics.recordDelivered(generation.arrival.workspace(), tokens);
    recordService(
        generation.arrival, tokens + SERVICE_PER_TOKEN_SECOND * generation.heldTokens() * seconds);
  }

  @Override
  public void preempted(Generation generation, long nowNanos) {
    metrics.recordPreemption(generation);
  }

  @Override
  public void prefixCacheChanged(String serverId, long prefixHash, boolean present) {
    for (GenerationPolicy policy : policies) {
      if (faultRandom.nextDouble() >= workload.lostEventShare()) {
        schedule(
            now + workload.lagMillis() * NANOS_PER_MILLI,
            () -> policy.prefixCacheChanged(serverId, prefixHash, present));
      }
    }
  }

  private record Task(long due, long sequence, Runnable action) implements Comparable<Task> {
    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(due, other.due);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
