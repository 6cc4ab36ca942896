package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Sums the reports of a fleet. */
class PeerWorkTableTest {
  private final PeerWorkTable fleet = new PeerWorkTable("m");

  private static OutstandingWork work(int requests) {
    return new OutstandingWork(requests, 10L * requests, 100L * requests);
  }

  /** Guards against sums that are computed for servers that a report does not concern. */
  @Test
  void namesOnlyTheServersWhoseWorkChanged() {
    assertThat(fleet.replace("a", Map.of("s", work(1), "t", work(2)))).containsExactly("s", "t");
    assertThat(fleet.replace("a", Map.of("s", work(1), "t", work(3)))).containsExactly("t");
    assertThat(fleet.replace("a", Map.of("t", work(3)))).containsExactly("s");
    assertThat(fleet.total("s")).isEqualTo(OutstandingWork.NONE);
  }

  /** Guards against two instances that take the same turn when an engine leaves. */
  @Test
  void countsTheMemoryOfEarlierInstances() {
    fleet.replace("a", Map.of("s", work(1)));
    fleet.replace("z", Map.of("s", work(5)));
    assertThat(fleet.total("s")).isEqualTo(work(6));
    assertThat(fleet.precedingMemoryTokens("s")).isEqualTo(100);
  }

  /** Guards against sums that drift from the reports: compares with sums of all reports. */
  @Test
  void keepsTheSumsOfAllReports() {
    SplittableRandom random = new SplittableRandom(7);
    Map<String, Map<String, OutstandingWork>> reports = new HashMap<>();
    for (int i = 0; i < 2_000; i++) {
      String instance = "i" + random.nextInt(9);
      Map<String, OutstandingWork> report = new HashMap<>();
      for (int s = random.nextInt(4); s > 0; s--) {
        report.put("s" + random.nextInt(6), work(1 + random.nextInt(3)));
      }
      reports.put(instance, report);
      fleet.replace(instance, report);
      for (int s = 0; s < 6; s++) {
        String server = "s" + s;
        OutstandingWork expected =
            reports.values().stream()
                .map(all -> all.getOrDefault(server, OutstandingWork.NONE))
                .reduce(OutstandingWork.NONE, OutstandingWork::plus);
        assertThat(fleet.total(server)).isEqualTo(expected);
      }
    }
  }
}
