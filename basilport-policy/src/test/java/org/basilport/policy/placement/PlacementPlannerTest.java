package org.basilport.policy.placement;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlacementPlannerTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final PlacementSettings SETTINGS =
      new PlacementSettings(2, 60, Duration.ofSeconds(10), 0.001);

  private final Map<String, Set<String>> loaded = new TreeMap<>();
  private final Map<String, Double> demand = new TreeMap<>();
  private final List<String> changes = new ArrayList<>();
  private final PlacementPlanner planner = new PlacementPlanner(SETTINGS, 0);
  private long now;

  private void engines(int count, String... models) {
    for (int i = 0; i < count; i++) {
      loaded.put("e" + i, new HashSet<>(Set.of(models)));
    }
  }

  /** Plans once per second; engines apply each target at once, and changes are recorded. */
  private void run(int seconds, ModelRequirement... requirements) {
    for (int i = 0; i < seconds; i++) {
      now += SECOND_NANOS;
      List<EngineState> states = new ArrayList<>();
      loaded.forEach((id, models) -> states.add(new EngineState(id, Set.copyOf(models))));
      planner
          .plan(List.of(requirements), demand, states, now)
          .targets()
          .forEach(
              (id, target) -> {
                if (!target.equals(loaded.get(id))) {
                  changes.add(id + " " + target);
                  loaded.put(id, new HashSet<>(target));
                }
              });
    }
  }

  private long replicas(String model) {
    return loaded.values().stream().filter(models -> models.contains(model)).count();
  }

  @Nested
  class Demand {
    /**
     * Guards against placements that do not follow when demand shifts from one model to another.
     */
    @Test
    void movesPlacementsOnceWhenDemandShifts() {
      engines(4);
      ModelRequirement llm = new ModelRequirement("llm", 1, 1);
      ModelRequirement verdicts = new ModelRequirement("verdicts", 1, 1);
      demand.put("llm", 3.5);
      demand.put("verdicts", 0.5);
      run(300, llm, verdicts);
      assertThat(replicas("llm")).isEqualTo(4);
      demand.put("llm", 0.5);
      demand.put("verdicts", 3.5);
      changes.clear();
      run(1_200, llm, verdicts);
      assertThat(replicas("llm")).isEqualTo(1);
      assertThat(replicas("verdicts")).isEqualTo(4);
      assertThat(changes.size()).isAtMost(6);
    }

    /** Guards against alternating loads and unloads while demand oscillates around a threshold. */
    @ParameterizedTest
    @CsvSource({"5, 0.8, 1.2", "5, 0.1, 5", "60, 0.9, 2.0", "60, 1.1, 1.9"})
    void doesNotFlapWhenDemandSwings(int period, double low, double high) {
      engines(4);
      ModelRequirement llm = new ModelRequirement("llm", 1, 1);
      for (int i = 0; i < 40; i++) {
        demand.put("llm", i % 2 == 0 ? low : high);
        run(period, llm);
      }
      assertThat(changes.size()).isAtMost(4);
    }

    /** Guards against rates that do not fall after demand has ended. */
    @Test
    void decaysArrivals() {
      DemandTracker tracker = new DemandTracker(Duration.ofSeconds(10));
      for (int i = 0; i < 1_000; i++) {
        tracker.recordArrival("llm@2", i * SECOND_NANOS / 10);
      }
      assertThat(tracker.rates(100 * SECOND_NANOS).get("llm")).isWithin(1).of(10);
      assertThat(tracker.rates(200 * SECOND_NANOS).get("llm")).isLessThan(0.01);
    }
  }

  @Nested
  class Limits {
    /** Guards against more loads per minute than the weight store allows. */
    @Test
    void boundsTheChangesOfAMinute() {
      engines(8);
      PlacementPlanner slow =
          new PlacementPlanner(new PlacementSettings(2, 6, Duration.ofSeconds(10), 0.001), 0);
      List<EngineState> states =
          loaded.keySet().stream().map(id -> new EngineState(id, Set.of())).toList();
      List<ModelRequirement> requirements = List.of(new ModelRequirement("llm", 8, 1));
      long placed = 0;
      for (int second = 0; second <= 25; second++) {
        PlacementPlan plan = slow.plan(requirements, Map.of(), states, second * SECOND_NANOS);
        placed = plan.targets().values().stream().filter(t -> !t.isEmpty()).count();
      }
      assertThat(placed).isEqualTo(3);
    }

    /** Guards against targets with more models than an engine can hold. */
    @Test
    void respectsModelsPerEngine() {
      engines(2);
      run(
          100,
          new ModelRequirement("a", 2, 1),
          new ModelRequirement("b", 2, 1),
          new ModelRequirement("c", 2, 1));
      assertThat(loaded.get("e0")).hasSize(2);
      assertThat(loaded.get("e1")).hasSize(2);
    }
  }

  @Nested
  class LastReplica {
    /** Guards against an outage of a model during a change of its version. */
    @ParameterizedTest
    @CsvSource({"1", "2", "4"})
    void changesVersionsWithoutAGap(int engineCount) {
      engines(engineCount, "llm@1");
      demand.put("llm", 0.5);
      ModelRequirement next = new ModelRequirement("llm@2", 1, 1);
      for (int i = 0; i < 300; i++) {
        run(1, next);
        assertThat(replicas("llm@1") + replicas("llm@2")).isAtLeast(1);
      }
      assertThat(replicas("llm@1")).isEqualTo(0);
      assertThat(replicas("llm@2")).isAtLeast(1);
    }

    /** Guards against unloading the last replica after the engine of the other one crashed. */
    @Test
    void keepsAReplicaWhoseReplacementDied() {
      engines(2, "llm");
      demand.put("llm", 0.1);
      ModelRequirement llm = new ModelRequirement("llm", 1, 1);
      run(200, llm);
      assertThat(replicas("llm")).isEqualTo(1);
      String empty = loaded.get("e0").isEmpty() ? "e0" : "e1";
      String holder = empty.equals("e0") ? "e1" : "e0";
      loaded.remove(holder);
      loaded.get(empty).add("llm");
      run(1, llm);
      assertThat(replicas("llm")).isEqualTo(1);
    }
  }

  /** Guards against invalid requirements that silently load nothing or everything. */
  @ParameterizedTest
  @CsvSource({
    "'', 1, 1, without a name",
    "llm, 0, 1, at least 1 replica",
    "llm, -3, 1, at least 1 replica",
    "llm, 1, 0, above 0",
    "llm, 1, NaN, above 0",
    "other, 1, 1, placed twice"
  })
  void rejectsInvalidRequirements(String model, int replicas, double rate, String message) {
    engines(1);
    ModelRequirement other = new ModelRequirement("other", 1, 1);
    RejectedException rejection =
        assertThrows(
            RejectedException.class,
            () -> run(1, other, new ModelRequirement(model, replicas, rate)));
    assertThat(rejection.code()).isEqualTo(FailureCode.INVALID_CONFIGURATION);
    assertThat(rejection).hasMessageThat().contains(message);
    assertThat(changes).isEmpty();
  }
}
