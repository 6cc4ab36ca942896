package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FleetUsageTest {
  private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final double TOLERANCE = 0.01;

  private final FleetUsage usage = new FleetUsage(0);

  /** Guards against usage that is remembered forever or is lost when old usage is removed. */
  @Test
  void decaysAlsoAfterARemoval() {
    usage.charge(1, 1_000, 0);
    usage.report("other", 1, Map.of(1L, 1_000L), 0);
    assertThat(usage.tokens(1, HALF_LIFE_NANOS)).isWithin(TOLERANCE).of(1_000);
    assertThat(usage.tokens(1, 5 * HALF_LIFE_NANOS)).isWithin(TOLERANCE).of(62.5);
    assertThat(usage.tokens(1, 8 * HALF_LIFE_NANOS)).isWithin(TOLERANCE).of(7.8125);
    usage.charge(2, 1, 17 * HALF_LIFE_NANOS);
    assertThat(usage.tokens(1, 17 * HALF_LIFE_NANOS)).isEqualTo(0);
  }

  /** Guards against counting a workspace twice that successive reports contain. */
  @Test
  void replacesWhatWasReportedBefore() {
    usage.report("other", 1, Map.of(1L, 1_000L, 2L, 50L), 0);
    usage.report("other", 1, Map.of(1L, 1_200L), 0);
    assertThat(usage.tokens(1, 0)).isWithin(TOLERANCE).of(1_200);
    assertThat(usage.tokens(2, 0)).isWithin(TOLERANCE).of(50);
  }

  /**
   * Guards against a workspace whose usage ends with the process of the instance that served it.
   */
  @Test
  void keepsWhatAFormerStartReported() {
    usage.report("other", 1, Map.of(1L, 1_000L), 0);
    usage.report("other", 2, Map.of(1L, 10L), 0);
    assertThat(usage.tokens(1, 0)).isWithin(TOLERANCE).of(1_010);
    assertThat(usage.report("other", 1, Map.of(1L, 5_000L), 0)).isFalse();
    assertThat(usage.tokens(1, 0)).isWithin(TOLERANCE).of(1_010);
  }

  /** Guards against a malformed report that lets a workspace wait without end, or never. */
  @Test
  void ignoresInvalidReports() {
    Map<Long, Long> tooMany = new HashMap<>();
    for (long i = 0; i <= FleetUsage.MAX_REPORTED; i++) {
      tooMany.put(i, 1_000L);
    }
    assertThat(usage.report("other", 1, tooMany, 0)).isFalse();
    assertThat(usage.report("other", 1, Map.of(1L, -1L), 0)).isFalse();
    assertThat(usage.report("other", 1, Map.of(1L, Long.MAX_VALUE), 0)).isFalse();
    assertThat(usage.tokens(1, 0)).isEqualTo(0);
  }

  /** Guards against workspaces beyond the limit of a report that are never reported. */
  @Test
  void reportsAllWorkspacesInTurn() {
    FleetUsage receiver = new FleetUsage(0);
    for (long i = 0; i < 3 * FleetUsage.MAX_REPORTED; i++) {
      usage.charge(i, 1_000 * (i + 1), 0);
    }
    for (int i = 0; i < 3; i++) {
      Map<Long, Long> report = usage.nextReport(Integer.MAX_VALUE, 0);
      assertThat(report).hasSize(FleetUsage.MAX_REPORTED);
      receiver.report("sender", 1, report, 0);
    }
    for (long i = 0; i < 3 * FleetUsage.MAX_REPORTED; i++) {
      assertThat(receiver.tokens(i, 0)).isWithin(TOLERANCE).of(1_000 * (i + 1));
    }
    assertThat(usage.nextReport(5, 0)).hasSize(5);
  }
}
