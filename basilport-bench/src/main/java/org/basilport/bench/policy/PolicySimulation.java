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
 * Runs one workload with one policy on a virtual clock.
 *
 * <p>Several instances, each with its own policy object, place work on the same engines.
 */
final class PolicySimulation implements EngineListener {
  private static final long SECOND = 1_000_000_000L;
  private static final long MILLI = 1_000_000L;
  private static final long REPORT_NANOS = 100 * MILLI;
  private static final long TICK_NANOS = 20 * MILLI;

  /** Time until the instance list no longer names a replica that died. */
  private static final long DEATH_NOTICE_NANOS = 2 * SECOND;

  private static final double SLOWNESS = 3;
  private static final double MEMORY_SERVICE = 0.01;
  private static final double PROMPT_SERVICE = 0.1;

  private final Workload workload;
  private final List<Arrival> arrivals;
  private final BenchmarkSettings settings;
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private final List<EngineModel> engines = new ArrayList<>();
  private final Map<String, EngineModel> byId = new HashMap<>();
  private final boolean[] stepping;
  private final boolean[] dead;
  private final GenerationPolicy[] policies = new GenerationPolicy[ArrivalGenerator.INSTANCES];
  private final Map<String, Generation> generations = new HashMap<>();
  private final List<ArrayDeque<ReplicaState>> snapshots = new ArrayList<>();
  private final MetricsCollector metrics = new MetricsCollector();
  private final FairnessProbe fairness;
  private final FairnessProbe[] instanceFairness = new FairnessProbe[ArrivalGenerator.INSTANCES];
  private final int[] pending = new int[ArrivalGenerator.WORKSPACES];
  private final int[][] pendingAt =
      new int[ArrivalGenerator.INSTANCES][ArrivalGenerator.WORKSPACES];
  private final SplittableRandom faults;
  private long now;
  private long sequence;
  private int nextArrival;
  private long deadSince = Long.MAX_VALUE;

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
    this.faults = random.split();
    this.fairness = new FairnessProbe(ArrivalGenerator.weights());
    Arrays.setAll(instanceFairness, i -> new FairnessProbe(ArrivalGenerator.weights()));
    for (int i = 0; i < deployment.replicas(); i++) {
      boolean slow = workload.slowReplica() && i == 1;
      EngineModel engine =
          new EngineModel(
              "e" + i,
              i % ArrivalGenerator.DATA_CENTRES,
              settings.engine(),
              slow ? SLOWNESS : 1,
              this);
      engines.add(engine);
      byId.put(engine.id(), engine);
      snapshots.add(new ArrayDeque<>());
    }
    this.stepping = new boolean[engines.size()];
    this.dead = new boolean[engines.size()];
    PolicySettings policySettings = settings.policySettings(deployment);
    for (int i = 0; i < policies.length; i++) {
      policies[i] = factory.create(policySettings, random.split());
    }
  }

  RunResult run() {
    long end = settings.duration().toNanos();
    at(settings.warmUp().toNanos(), metrics::activate);
    at(0, this::report);
    at(0, this::tick);
    at(SECOND, this::sample);
    if (workload.dyingReplica()) {
      at(end / 2, () -> die(2));
    }
    if (!arrivals.isEmpty()) {
      at(arrivals.get(0).atNanos(), this::arrive);
    }
    while (!tasks.isEmpty() && tasks.peek().due <= end) {
      Task task = tasks.remove();
      now = task.due;
      task.action.run();
    }
    return metrics.result((end - settings.warmUp().toNanos()) / (double) SECOND);
  }

  private void at(long due, Runnable action) {
    tasks.add(new Task(due, sequence++, action));
  }

  private void arrive() {
    Arrival arrival = arrivals.get(nextArrival++);
    metrics.arrived();
    submit(arrival, arrival.item());
    if (nextArrival < arrivals.size()) {
      at(arrivals.get(nextArrival).atNanos(), this::arrive);
    }
  }

  private void submit(Arrival arrival, WorkItem item) {
    Generation generation = new Generation(arrival, item);
    if (policies[arrival.instance()].submit(item, now)) {
      generations.put(item.requestId(), generation);
      pending(arrival, 1);
      place(arrival.instance());
    } else {
      metrics.refused();
    }
  }

  private void place(int instance) {
    for (Placement placement : policies[instance].place(now)) {
      Generation generation = generations.get(placement.item().requestId());
      EngineModel engine = byId.get(placement.serverId());
      int index = engines.indexOf(engine);
      if (dead[index]) {
        fail(generation);
        continue;
      }
      engine.add(generation, placement.priority());
      step(index);
    }
  }

  private void step(int index) {
    EngineModel engine = engines.get(index);
    if (stepping[index] || dead[index] || engine.idle()) {
      return;
    }
    stepping[index] = true;
    at(
        engine.startStep(now),
        () -> {
          stepping[index] = false;
          if (!dead[index]) {
            engine.endStep(now);
            step(index);
          }
        });
  }

  private void tick() {
    for (int i = 0; i < policies.length; i++) {
      if (policies[i].waitingCount() > 0) {
        place(i);
      }
    }
    at(now + TICK_NANOS, this::tick);
  }

  private void report() {
    List<ReplicaState> visible = new ArrayList<>();
    long measured = now - workload.lagMillis() * MILLI;
    for (int i = 0; i < engines.size(); i++) {
      ArrayDeque<ReplicaState> states = snapshots.get(i);
      if (!dead[i]) {
        states.add(snapshot(engines.get(i)));
      }
      while (states.size() > 1 && states.peek().measuredAtNanos() < measured) {
        states.remove();
      }
      if (!dead[i] || now < deadSince + DEATH_NOTICE_NANOS) {
        visible.add(states.peek());
      }
    }
    for (int instance = 0; instance < policies.length; instance++) {
      policies[instance].updateReplicas(seenBy(instance, visible), policies.length, now);
    }
    at(now + REPORT_NANOS, this::report);
  }

  private List<ReplicaState> seenBy(int instance, List<ReplicaState> states) {
    int centre = instance / (ArrivalGenerator.INSTANCES / ArrivalGenerator.DATA_CENTRES);
    List<ReplicaState> seen = new ArrayList<>(states.size());
    for (ReplicaState state : states) {
      seen.add(
          new ReplicaState(
              state.serverId(),
              byId.get(state.serverId()).dataCentre() == centre,
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
        engine.stepMillis(),
        now,
        now);
  }

  private void sample() {
    for (int i = 0; i < engines.size(); i++) {
      if (!dead[i]) {
        metrics.memory(engines.get(i).usedTokens() / (double) settings.engine().capacityTokens());
      }
    }
    metrics.fairness(fairness.sample(pending));
    for (int i = 0; i < instanceFairness.length; i++) {
      metrics.instanceFairness(instanceFairness[i].sample(pendingAt[i]));
    }
    at(now + SECOND, this::sample);
  }

  private void die(int index) {
    dead[index] = true;
    deadSince = now;
    List<Generation> lost = engines.get(index).die();
    lost.forEach(this::fail);
  }

  private void fail(Generation generation) {
    String id = generation.item.requestId();
    Arrival arrival = generation.arrival;
    policies[arrival.instance()].finished(id, generation.generated, false, now);
    generations.remove(id);
    if (generation.firstTokenNanos == Generation.NEVER) {
      pending(arrival, -1);
    }
    boolean repeatable =
        generation.generated == 0 || generation.item.generationClass() == GenerationClass.DEFERRED;
    if (repeatable) {
      at(now + SECOND, () -> submit(arrival, nextAttempt(generation.item)));
    }
    if (generation.generated > 0) {
      metrics.lost(generation);
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
    metrics.first(generation, nowNanos);
    pending(generation.arrival, -1);
    serve(generation.arrival, PROMPT_SERVICE * generation.item.promptTokens());
    generation.chargedNanos = nowNanos;
  }

  @Override
  public void tokens(long gapNanos, int count, int streamed) {
    metrics.gap(gapNanos, count, streamed);
  }

  @Override
  public void progressed(Generation generation, long nowNanos) {
    deliver(generation, nowNanos);
    policies[generation.arrival.instance()].progressed(
        generation.item.requestId(), generation.generated, nowNanos);
  }

  @Override
  public void finished(Generation generation, long nowNanos) {
    deliver(generation, nowNanos);
    String id = generation.item.requestId();
    generations.remove(id);
    int instance = generation.arrival.instance();
    policies[instance].finished(id, generation.generated, true, nowNanos);
    if (policies[instance].waitingCount() > 0) {
      place(instance);
    }
  }

  private void pending(Arrival arrival, int change) {
    pending[arrival.workspace()] += change;
    pendingAt[arrival.instance()][arrival.workspace()] += change;
  }

  private void serve(Arrival arrival, double service) {
    fairness.serve(arrival.workspace(), service);
    instanceFairness[arrival.instance()].serve(arrival.workspace(), service);
  }

  private void deliver(Generation generation, long nowNanos) {
    long tokens = generation.generated - generation.delivered;
    double seconds = (nowNanos - generation.chargedNanos) / (double) SECOND;
    generation.delivered = generation.generated;
    generation.chargedNanos = nowNanos;
    metrics.delivered(generation.arrival.workspace(), tokens);
    serve(generation.arrival, tokens + MEMORY_SERVICE * generation.held() * seconds);
  }

  @Override
  public void preempted(Generation generation, long nowNanos) {
    metrics.preempted(generation);
  }

  @Override
  public void cached(String serverId, long prefixHash, boolean present) {
    for (GenerationPolicy policy : policies) {
      if (faults.nextDouble() >= workload.lostEvents()) {
        at(
            now + workload.lagMillis() * MILLI,
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
