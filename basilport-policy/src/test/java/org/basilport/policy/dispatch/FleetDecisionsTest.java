package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Decisions that instances take independently but that have to hold for the whole fleet. */
class FleetDecisionsTest {

  @Nested
  class RetryBudget {
    private static final long WINDOW_NANOS = 10_000;

    /** Guards against a retry storm: six instances together stay below the limit of the fleet. */
    @Test
    void sumOfInstancesStaysBelowTheLimit() {
      int retries = 0;
      int requests = 0;
      for (int instance = 0; instance < 6; instance++) {
        WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 52, WINDOW_NANOS);
        for (int i = 0; i < 50; i++) {
          budget.recordRequest(i);
          requests++;
          retries += budget.tryAcquireRetry(6, i) ? 1 : 0;
          retries += budget.tryAcquireRetry(6, i) ? 1 : 0;
        }
      }

      assertThat(retries).isAtMost((int) (0.2 * requests + 52));
      assertThat(retries).isAtLeast(40);
    }

    /** Guards against retries that are never removed from the window. */
    @Test
    void allowsRetriesAgainAfterTheWindow() {
      WindowedRetryBudget budget = new WindowedRetryBudget(0, 2, WINDOW_NANOS);
      assertThat(budget.tryAcquireRetry(1, 0)).isTrue();
      assertThat(budget.tryAcquireRetry(1, 1)).isFalse();
      assertThat(budget.tryAcquireRetry(1, WINDOW_NANOS + 1)).isTrue();
    }
  }

  @Nested
  class Freshness {
    private final FreshnessProof proof = new FreshnessProof();

    /** Guards against accepting a revoked key before any configuration has been proven. */
    @Test
    void unknownAtFirst() {
      assertThat(proof.ageMillis(0, 0)).isEqualTo(Long.MAX_VALUE);
    }

    /**
     * Guards against an outdated proof after a suspension of the machine, which stops the monotonic
     * clock, and after a jump of the wall clock.
     */
    @Test
    void doesNotCountWhenTheClocksDisagree() {
      proof.record(0, 1_000_000);

      assertThat(proof.ageMillis(TimeUnit.SECONDS.toNanos(1), 1_001_000)).isEqualTo(1_000);
      assertThat(proof.ageMillis(TimeUnit.SECONDS.toNanos(1), 1_008_000)).isEqualTo(Long.MAX_VALUE);
      assertThat(proof.ageMillis(TimeUnit.SECONDS.toNanos(1), 990_000)).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against replacing a proof by an older one that arrives late. */
    @Test
    void keepsTheNewestProof() {
      proof.record(TimeUnit.SECONDS.toNanos(5), 5_000);
      proof.record(TimeUnit.SECONDS.toNanos(3), 3_000);

      assertThat(proof.ageMillis(TimeUnit.SECONDS.toNanos(6), 6_000)).isEqualTo(1_000);
    }
  }

  @Nested
  class Retention {
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ExpiredEntryRetention retention = new ExpiredEntryRetention();

    /** Guards against losing all live servers after an outage of the directory. */
    @Test
    void retainsEntriesThatExpiredDuringOutage() {
      retention.start(0, RETENTION_NANOS);

      assertThat(
              retention.merge(
                  List.of("a", "b"), List.of("b", "c"), id -> id, (known, listed) -> listed, 1))
          .containsExactly("a", "b", "c");
    }

    /** Guards against an outage that shortens the longer period after a return. */
    @Test
    void isNotShortened() {
      retention.start(0, 2 * RETENTION_NANOS);
      retention.start(1, RETENTION_NANOS);

      assertThat(retention.pollEnded(2 * RETENTION_NANOS - 1)).isFalse();
      assertThat(retention.pollEnded(2 * RETENTION_NANOS)).isTrue();
    }

    /** Guards against keeping dead servers for ever. */
    @Test
    void endsOncePerPeriod() {
      retention.start(0, RETENTION_NANOS);
      long end = RETENTION_NANOS;

      assertThat(retention.pollEnded(1)).isFalse();
      assertThat(retention.pollEnded(end)).isTrue();
      assertThat(retention.pollEnded(end)).isFalse();
      assertThat(
              retention.merge(List.of("a"), List.of("b"), id -> id, (known, listed) -> listed, end))
          .containsExactly("b");
    }
  }

  @Nested
  class Cells {
    private List<String> fleet(int instances) {
      List<String> fleet = new ArrayList<>();
      for (int i = 0; i < instances; i++) {
        fleet.add("instance-" + i);
      }
      return fleet;
    }

    private List<String> engines(int count) {
      return fleet(count).stream().map(id -> "engine-" + id).toList();
    }

    /** Guards against messages that grow with the square of the fleet, and against uneven cells. */
    @Test
    void cellsAreSmallAndEven() {
      for (int size : new int[] {73, 350}) {
        CellPartition cells = new CellPartition(fleet(size), engines(size));
        Map<Integer, Integer> members = new HashMap<>();
        Map<Integer, Integer> shared = new HashMap<>();
        fleet(size).forEach(id -> members.merge(cells.cellOf(id), 1, Integer::sum));
        engines(size)
            .forEach(id -> cells.cellsOfEngine(id).forEach(c -> shared.merge(c, 1, Integer::sum)));

        members.values().forEach(count -> assertThat(count).isIn(Range.closed(10, 12)));
        shared.values().forEach(count -> assertThat(count).isIn(Range.closed(20, 24)));
      }
    }

    /** Guards against a departure that moves many engines to other cells. */
    @Test
    void departureMovesFewEngines() {
      List<String> engines = engines(34);
      CellPartition before = new CellPartition(fleet(73), engines);
      CellPartition after = new CellPartition(fleet(73), engines.subList(1, 34));
      long moved =
          engines.subList(1, 34).stream()
              .filter(id -> !before.cellsOfEngine(id).equals(after.cellsOfEngine(id)))
              .count();

      assertThat(moved).isAtMost(7);
    }

    /** Guards against a small fleet that depends on one watching instance. */
    @Test
    void smallFleetIsSingleCellAndAllInstancesWatch() {
      assertThat(new CellPartition(fleet(7), engines(10)).singleCell()).isTrue();
      assertThat(WatcherSelector.select(fleet(7), true, id -> id)).hasSize(7);
    }

    /** Guards against calls to the store that grow with the square of the fleet. */
    @Test
    void largeFleetHasTwoWatchersInEachCell() {
      assertThat(WatcherSelector.select(fleet(12), false, id -> id)).hasSize(2);
    }
  }
}
