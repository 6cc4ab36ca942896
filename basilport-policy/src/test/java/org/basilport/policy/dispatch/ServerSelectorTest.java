package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Selection of backend servers under load, and their passive health check. */
class ServerSelectorTest {
  private static final long FIRST_TOKEN_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long NOW_NANOS = 0;

  private static ServerLoad engine(String id, String dataCentre) {
    return new ServerLoad(id, dataCentre, 24, 34_000);
  }

  @Nested
  class EarliestFirstToken {
    private final EarliestFirstTokenSelector selector =
        new EarliestFirstTokenSelector("a", FIRST_TOKEN_LIMIT_NANOS, new SplittableRandom(1));

    /** Guards against prompts that queue behind a long prompt while another engine is free. */
    @Test
    void avoidsEngineWithPendingPrefill() {
      ServerLoad prefilling = engine("reading", "a");
      prefilling.addOwnWork(new OutstandingWork(1, 3_000, 3_500));
      ServerLoad decoding = engine("decoding", "b");
      decoding.addOwnWork(new OutstandingWork(2, 0, 6_000));

      assertThat(
              selector.select(
                  List.of(prefilling, decoding), RequestDemand.generation(2_000, 40), NOW_NANOS))
          .hasValue(decoding);
    }

    /** Guards against preemption, after which a prompt has to be prefilled again. */
    @Test
    void keepsRequestsWaitingWhenNoMemoryIsFree() {
      ServerLoad full = engine("full", "a");
      full.addOwnWork(new OutstandingWork(8, 0, 29_000));

      assertThat(selector.select(List.of(full), RequestDemand.generation(3_000, 900), NOW_NANOS))
          .isEmpty();
    }

    /**
     * Guards against exceeding an engine's memory with generations that outgrow their estimates.
     * Estimates are often far off, and the excess memory would still be counted as free.
     */
    @Test
    void countsGenerationsThatOutgrewTheirEstimate() {
      ServerLoad engine = engine("engine", "a");
      RequestDemand shortEstimate = RequestDemand.generation(3_000, 100);
      for (int i = 0; i < 8; i++) {
        engine.addOwnWork(new OutstandingWork(1, 0, shortEstimate.memoryTokens()));
      }
      RequestDemand next = RequestDemand.generation(2_000, 40);
      assertThat(selector.select(List.of(engine), next, NOW_NANOS)).hasValue(engine);

      long grown = RequestDemand.memoryAfterGrowth(shortEstimate.memoryTokens(), 3_800);
      for (int i = 0; i < 8; i++) {
        engine.removeOwnWork(new OutstandingWork(1, 0, shortEstimate.memoryTokens()));
        engine.addOwnWork(new OutstandingWork(1, 0, grown));
      }
      assertThat(grown).isAtLeast(3_800);
      assertThat(selector.select(List.of(engine), next, NOW_NANOS)).isEmpty();
    }

    /**
     * Guards against a request that is never placed because it alone exceeds the usable memory
     * share.
     */
    @Test
    void placesLargestRequestOnIdleEngine() {
      ServerLoad idle = engine("idle", "a");

      assertThat(selector.select(List.of(idle), RequestDemand.generation(33_000, 1_000), NOW_NANOS))
          .hasValue(idle);
    }

    /**
     * Guards against queues of prompts at the engines, from where requests can no longer be moved.
     */
    @Test
    void keepsRequestsWaitingWhenFirstTokenWouldBeLate() {
      ServerLoad busy = engine("busy", "a");
      busy.addOwnWork(new OutstandingWork(3, 9_000, 10_000));

      assertThat(selector.select(List.of(busy), RequestDemand.generation(3_000, 100), NOW_NANOS))
          .isEmpty();
    }

    /**
     * Guards against one full engine beside idle ones, whose reclamation would affect most
     * generations.
     */
    @Test
    void spreadsGenerationsEvenly() {
      List<ServerLoad> engines = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        engines.add(engine("engine-" + i, i % 2 == 0 ? "a" : "b"));
      }
      RequestDemand demand = RequestDemand.generation(3_000, 1_000);
      Map<String, Integer> counts = new HashMap<>();
      for (int i = 0; i < 32; i++) {
        ServerLoad chosen = selector.select(engines, demand, NOW_NANOS).orElseThrow();
        chosen.addOwnWork(demand.toWork());
        chosen.removeOwnWork(new OutstandingWork(0, demand.promptTokens(), 0));
        counts.merge(chosen.id(), 1, Integer::sum);
      }

      assertThat(counts).hasSize(8);
      counts.values().forEach(count -> assertThat(count).isAtMost(6));
    }

    /** Guards against ignoring the work of other instances. */
    @Test
    void countsWorkOfOtherInstances() {
      ServerLoad shared = engine("shared", "a");
      shared.setPeerWork(new OutstandingWork(24, 0, 10_000), 0);
      ServerLoad free = engine("free", "b");

      assertThat(
              selector.select(List.of(shared, free), RequestDemand.generation(100, 10), NOW_NANOS))
          .hasValue(free);
    }
  }

  @Nested
  class LeastOccupied {
    private final LeastOccupiedSelector selector =
        new LeastOccupiedSelector("a", new SplittableRandom(1));

    private ServerLoad server(String id, String dataCentre, int requests) {
      ServerLoad load = new ServerLoad(id, dataCentre, 6, 0);
      load.addOwnWork(new OutstandingWork(requests, 0, 0));
      return load;
    }

    /**
     * Guards against traffic between data centres while a server in the own data centre is
     * available.
     */
    @Test
    void prefersOwnDataCentreAtEqualLoad() {
      ServerLoad near = server("near", "a", 1);
      ServerLoad far = server("far", "b", 1);

      assertThat(selector.select(List.of(far, near), RequestDemand.SERVICE_CALL, NOW_NANOS))
          .hasValue(near);
    }

    /**
     * Guards against waiting for a server in the own data centre while one elsewhere has free
     * slots.
     */
    @Test
    void selectsOtherDataCentreWhenOwnIsFull() {
      ServerLoad near = server("near", "a", 6);
      ServerLoad far = server("far", "b", 0);

      assertThat(selector.select(List.of(far, near), RequestDemand.SERVICE_CALL, NOW_NANOS))
          .hasValue(far);
    }

    /** Guards against sending requests that a full server would refuse. */
    @Test
    void keepsRequestsWaitingWhenAllAreFull() {
      assertThat(
              selector.select(
                  List.of(server("x", "a", 9), server("y", "b", 9)),
                  RequestDemand.SERVICE_CALL,
                  NOW_NANOS))
          .isEmpty();
    }
  }

  @Nested
  class Health {
    /** Guards against a server that fails its requests while its active health check passes. */
    @Test
    void suspendsAfterConsecutiveFailuresAndProbes() {
      ServerHealth health = new ServerHealth();
      health.recordFailure(NOW_NANOS);
      assertThat(health.suspended(NOW_NANOS)).isFalse();
      health.recordFailure(NOW_NANOS);
      assertThat(health.suspended(NOW_NANOS)).isTrue();
      assertThat(health.suspended(NOW_NANOS + TimeUnit.MILLISECONDS.toNanos(501))).isFalse();
    }

    /** Guards against ever longer suspensions of a server that has recovered. */
    @Test
    void boundsSuspensionAndClearsItAfterSuccess() {
      ServerHealth health = new ServerHealth();
      for (int i = 0; i < 50; i++) {
        health.recordFailure(NOW_NANOS);
      }
      assertThat(health.suspended(NOW_NANOS + TimeUnit.SECONDS.toNanos(5))).isFalse();
      health.recordSuccess();
      assertThat(health.suspended(NOW_NANOS)).isFalse();
    }
  }
}
