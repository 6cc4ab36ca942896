package org.basilport.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.basilport.policy.length.HierarchicalLengthEstimator;
import org.basilport.policy.length.LengthDistribution;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdaptiveGenerationPolicyTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final long CAPACITY_TOKENS = 20_000;
  private static final int QUEUE_LIMIT = 40;

  private static PolicySettings settings() {
    return new PolicySettings("s", "m", QUEUE_LIMIT, 0.05, 1, 1, 1, Map.of("w0", 3.0));
  }

  private static WorkItem item(int id, GenerationClass generationClass, long prompt, long max) {
    return new WorkItem(
        "r" + id, "w" + id % 5, "route" + id % 2, "m", generationClass, prompt, max, id % 9, 1);
  }

  private static ReplicaState state(String id, long used, int running, long now) {
    return new ReplicaState(id, true, CAPACITY_TOKENS, used, 0, running, 30, now);
  }

  /** Applies random operations to one policy and checks its invariants after each of them. */
  private static final class Driver {
    private final SplittableRandom random;
    private final GenerationPolicy policy;
    private final List<String> servers = new ArrayList<>(List.of("a", "b", "c"));
    private final Map<String, WorkItem> waiting = new HashMap<>();
    private final Map<String, Placement> running = new HashMap<>();
    private final Map<String, Long> generated = new HashMap<>();
    private final Set<String> placed = new HashSet<>();
    private long now;
    private int nextId;

    Driver(long seed) {
      random = new SplittableRandom(seed);
      policy = new AdaptiveGenerationPolicyFactory().create(settings(), random.split());
      report();
    }

    void step() {
      now += random.nextLong(30 * MILLI_NANOS);
      switch (random.nextInt(6)) {
        case 0, 1 -> submit();
        case 2 -> progress();
        case 3 -> finish();
        case 4 -> withdraw();
        default -> report();
      }
      place();
      assertThat(policy.queuedCount()).isEqualTo(waiting.size());
      assertThat(policy.queuedCount()).isAtMost(QUEUE_LIMIT);
    }

    private long held(String server) {
      return running.values().stream()
          .filter(placement -> placement.serverId().equals(server))
          .mapToLong(p -> p.item().promptTokens() + generated.get(p.item().requestId()))
          .sum();
    }

    private void submit() {
      GenerationClass generationClass = GenerationClass.values()[random.nextInt(2)];
      WorkItem item =
          item(nextId++, generationClass, 1 + random.nextInt(3_000), 1 + random.nextInt(4_000));
      boolean accepted = policy.submit(item, now);
      assertThat(accepted).isEqualTo(waiting.size() < QUEUE_LIMIT);
      if (accepted) {
        waiting.put(item.requestId(), item);
      }
    }

    private void place() {
      Set<String> empty = new HashSet<>();
      servers.stream().filter(server -> held(server) == 0).forEach(empty::add);
      for (Placement placement : policy.place(now)) {
        String id = placement.item().requestId();
        assertThat(waiting.remove(id)).isEqualTo(placement.item());
        assertThat(placed.add(id)).isTrue();
        running.put(id, placement);
        generated.put(id, 0L);
        if (!empty.remove(placement.serverId())) {
          assertThat(held(placement.serverId())).isAtMost(CAPACITY_TOKENS);
        }
      }
    }

    private void progress() {
      for (Placement placement : running.values()) {
        String id = placement.item().requestId();
        long limit = placement.item().maxTokens();
        generated.put(id, Math.min(limit, generated.get(id) + random.nextInt(60)));
        policy.progressed(id, generated.get(id), now);
      }
    }

    private void finish() {
      if (!running.isEmpty()) {
        String id = running.keySet().iterator().next();
        running.remove(id);
        policy.finished(id, generated.get(id), random.nextInt(4) > 0, now);
      }
    }

    private void withdraw() {
      if (!waiting.isEmpty() && random.nextInt(4) == 0) {
        String id = waiting.keySet().iterator().next();
        waiting.remove(id);
        assertThat(policy.withdraw(id)).isTrue();
        assertThat(policy.withdraw(id)).isFalse();
      }
    }

    private void report() {
      List<ReplicaState> states = new ArrayList<>();
      for (String server : servers) {
        int count =
            (int) running.values().stream().filter(p -> p.serverId().equals(server)).count();
        states.add(state(server, held(server), count, now));
      }
      policy.updateReplicas(states, 1, now);
    }
  }

  @Nested
  class RandomisedRuns {
    /** Guards against lost, duplicated and over-admitted generations and an unbounded queue. */
    @Test
    void keepTheInvariants() {
      for (long seed = 1; seed <= 20; seed++) {
        Driver driver = new Driver(seed);
        for (int i = 0; i < 3_000; i++) {
          driver.step();
        }
        assertThat(driver.placed.size()).isGreaterThan(100);
      }
    }
  }

  @Nested
  class Placing {
    private final GenerationPolicy policy =
        new AdaptiveGenerationPolicyFactory().create(settings(), new SplittableRandom(1));

    /** Guards against a request that is never placed because it is too large for every engine. */
    @Test
    void startsAnyRequestOnAnEmptyEngine() {
      policy.updateReplicas(List.of(state("a", 0, 0, 0)), 6, 0);
      assertThat(policy.submit(item(1, GenerationClass.STREAMED, 19_000, 9_000), 0)).isTrue();
      assertThat(policy.place(0)).hasSize(1);
    }

    /** Guards against placing a generation on an engine without free memory. */
    @Test
    void waitsWhenTheReportedMemoryIsFull() {
      policy.updateReplicas(List.of(state("a", 19_900, 5, 0)), 1, 0);
      assertThat(policy.submit(item(1, GenerationClass.STREAMED, 1_000, 900), 0)).isTrue();
      assertThat(policy.place(0)).isEmpty();
      policy.updateReplicas(List.of(state("a", 1_000, 5, MILLI_NANOS)), 1, MILLI_NANOS);
      assertThat(policy.place(MILLI_NANOS)).hasSize(1);
    }

    /** Guards against preempting streamed generations before deferred ones. */
    @Test
    void givesStreamedAndRetriedWorkHigherPriority() {
      policy.updateReplicas(List.of(state("a", 0, 0, 0)), 1, 0);
      policy.submit(item(1, GenerationClass.STREAMED, 10, 10), 0);
      policy.submit(item(2, GenerationClass.DEFERRED, 10, 10), 0);
      WorkItem retried =
          new WorkItem("r3", "w3", "route1", "m", GenerationClass.DEFERRED, 10, 10, 1, 3);
      policy.submit(retried, 0);
      Map<String, Integer> priorities = new HashMap<>();
      policy.place(0).forEach(p -> priorities.put(p.item().requestId(), p.priority()));
      assertThat(priorities.get("r1")).isGreaterThan(priorities.get("r3"));
      assertThat(priorities.get("r3")).isGreaterThan(priorities.get("r2"));
    }
  }

  @Nested
  class Classes {
    /** Guards against starvation of deferred work by a steady load of streamed generations. */
    @Test
    void deferredWorkIsNotStarved() {
      GenerationPolicy policy =
          new AdaptiveGenerationPolicyFactory().create(settings(), new SplittableRandom(1));
      long now = 0;
      policy.updateReplicas(List.of(state("a", 0, 0, now)), 1, now);
      int deferred = 0;
      List<String> running = new ArrayList<>();
      policy.submit(item(0, GenerationClass.DEFERRED, 3_000, 3_000), now);
      for (int i = 1; i < 2_000 && deferred == 0; i++) {
        now += 100 * MILLI_NANOS;
        while (policy.queuedCount() < QUEUE_LIMIT) {
          policy.submit(
              item(i * 100 + policy.queuedCount(), GenerationClass.STREAMED, 900, 900), now);
        }
        if (!running.isEmpty()) {
          policy.finished(running.remove(0), 300, true, now);
        }
        policy.updateReplicas(
            List.of(state("a", 900L * running.size(), running.size(), now)), 1, now);
        for (Placement placement : policy.place(now)) {
          running.add(placement.item().requestId());
          deferred += placement.item().requestId().equals("r0") ? 1 : 0;
        }
      }
      assertThat(deferred).isEqualTo(1);
    }
  }

  @Nested
  class Lengths {
    /** Guards against estimates that deviate from the observed lengths. */
    @Test
    void followTheObservedSurvival() {
      SplittableRandom random = new SplittableRandom(4);
      HierarchicalLengthEstimator estimator = new HierarchicalLengthEstimator(10);
      WorkItem item = item(1, GenerationClass.STREAMED, 10, 100_000);
      for (int i = 0; i < 2_000; i++) {
        long length = 1 + random.nextInt(1_000);
        estimator.distribution(item).recordGrowth(-1, length);
        estimator.distribution(item).recordEnd(length);
      }
      LengthDistribution lengths = estimator.distribution(item);
      assertThat(lengths.survival(0, 250)).isWithin(0.06).of(0.75);
      assertThat(lengths.survival(0, 500)).isWithin(0.06).of(0.5);
      assertThat(lengths.survival(500, 250)).isWithin(0.1).of(0.5);
      assertThat(lengths.survival(0, 2_000)).isWithin(0.02).of(0);
    }

    /**
     * Guards against estimates biased towards short outputs after a start, when no long one has
     * ended.
     */
    @Test
    void countRunningGenerations() {
      HierarchicalLengthEstimator estimator = new HierarchicalLengthEstimator(10);
      WorkItem item = item(1, GenerationClass.STREAMED, 10, 100_000);
      for (int i = 0; i < 100; i++) {
        estimator.distribution(item).recordGrowth(-1, 20);
        estimator.distribution(item).recordEnd(20);
        estimator.distribution(item).recordGrowth(-1, 600);
      }
      assertThat(estimator.distribution(item).survival(0, 400)).isWithin(0.1).of(0.45);
    }

    /**
     * Guards against survival values that rise or leave the range 0 to 1, which breaks the
     * admission rule.
     */
    @Test
    void haveNonIncreasingSurvivalFunction() {
      SplittableRandom random = new SplittableRandom(9);
      HierarchicalLengthEstimator estimator = new HierarchicalLengthEstimator(4);
      for (int i = 0; i < 3_000; i++) {
        WorkItem item = item(random.nextInt(10), GenerationClass.STREAMED, 10, 100_000);
        long length = 1 + (long) Math.exp(random.nextDouble(10));
        estimator.distribution(item).recordGrowth(-1, length);
        estimator.distribution(item).recordEnd(length);
        double before = 1;
        long generated = random.nextInt(5_000);
        for (long further = 0; further < 40_000; further = 2 * further + 1) {
          double survival = estimator.distribution(item).survival(generated, further);
          assertThat(survival).isAtMost(before + 1e-9);
          assertThat(survival).isAtLeast(0);
          before = survival;
        }
      }
    }
  }
}
