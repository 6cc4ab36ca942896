package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PeerWorkTableTest {
  private final PeerWorkTable table = new PeerWorkTable("m");

  private static OutstandingWork work(int requests) {
    return new OutstandingWork(requests, 10L * requests, 100L * requests);
  }

  /** Guards against updating servers that a report does not affect. */
  @Test
  void returnsOnlyServersWhoseWorkChanged() {
    assertThat(table.replace("a", Map.of("s", work(1), "t", work(2)))).containsExactly("s", "t");
    assertThat(table.replace("a", Map.of("s", work(1), "t", work(3)))).containsExactly("t");
    assertThat(table.replace("a", Map.of("t", work(3)))).containsExactly("s");
    assertThat(table.total("s")).isEqualTo(OutstandingWork.NONE);
  }

  /** Guards against overlapping moves of two instances when an engine leaves. */
  @Test
  void sumsMemoryOfPrecedingInstances() {
    table.replace("a", Map.of("s", work(1)));
    table.replace("z", Map.of("s", work(5)));
    assertThat(table.total("s")).isEqualTo(work(6));
    assertThat(table.precedingMemoryTokens("s")).isEqualTo(100);
  }

  /** Guards against sums that drift from the reports; compares them with a sum over all reports. */
  @Test
  void equalsSumOverAllReports() {
    SplittableRandom random = new SplittableRandom(7);
    Map<String, Map<String, OutstandingWork>> reports = new HashMap<>();
    for (int i = 0; i < 2_000; i++) {
      String instance = "i" + random.nextInt(9);
      Map<String, OutstandingWork> report = new HashMap<>();
      for (int s = random.nextInt(4); s > 0; s--) {
        report.put("s" + random.nextInt(6), work(1 + random.nextInt(3)));
      }
      reports.put(instance, report);
      table.replace(instance, report);
      for (int s = 0; s < 6; s++) {
        String server = "s" + s;
        OutstandingWork expected =
            reports.values().stream()
                .map(all -> all.getOrDefault(server, OutstandingWork.NONE))
                .reduce(OutstandingWork.NONE, OutstandingWork::plus);
        assertThat(table.total(server)).isEqualTo(expected);
      }
    }
  }
}
