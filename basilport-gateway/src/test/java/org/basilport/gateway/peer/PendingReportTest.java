package org.basilport.gateway.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.basilport.policy.dispatch.CellPartition;
import org.junit.jupiter.api.Test;

/** Receivers of reports in a fleet of 95 instances in eight cells. */
class PendingReportTest {
  private static final int OWN_CELL = 3;

  private final CellPartition cells = new CellPartition(ids("instance-", 95), ids("engine-", 28));
  private final PendingReport pending = new PendingReport();

  private static List<String> ids(String prefix, int count) {
    return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
  }

  private PendingReport.Audience take() {
    return pending.take(cells, OWN_CELL);
  }

  /** Guards against evidence in each of the frequent reports of changed work. */
  @Test
  void reportsWorkToTheUsersOfAnEngineWithoutEvidence() {
    pending.addWork("engine-1");
    PendingReport.Audience audience = take();

    assertThat(audience.withEvidence()).isFalse();
    assertThat(audience.all()).isFalse();
    assertThat(audience.cells()).containsAtLeastElementsIn(cells.cellsOfEngine("engine-1"));
    assertThat(audience.cells()).contains(OWN_CELL);
  }

  /** Guards against new evidence that only the own cell receives. */
  @Test
  void reportsEvidenceAsWidelyAsItWasAdded() {
    pending.addEvidence();
    assertThat(take().cells()).containsExactly(OWN_CELL);
    pending.addEvidenceForNeighbours();
    assertThat(take().cells()).isEqualTo(cells.neighbours(OWN_CELL));
    pending.addEvidence();
    pending.addEvidenceForAll();
    PendingReport.Audience audience = take();

    assertThat(audience.all()).isTrue();
    assertThat(audience.withEvidence()).isTrue();
  }

  /** Guards against reports that are repeated to a wide audience. */
  @Test
  void startsAnewAfterEachReport() {
    pending.addEvidenceForAll();
    take();

    assertThat(take()).isEqualTo(new PendingReport.Audience(false, Set.of(OWN_CELL), false));
  }
}
