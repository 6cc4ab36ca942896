package org.basilport.backend;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.basilport.event.EventSink;
import org.basilport.event.InvariantViolation;
import org.junit.jupiter.api.Test;

class BackendSnapshotTest {
  // Verifies the invariant check: the record lacks the leaving mark that the predicate reports.
  @Test
  void assertionFailsIfLeavingServerIsCandidate() {
    BackendServer server = new BackendServer("e", 1, "geo-llm", "r", "d", "a", false);
    List<BackendRecord> records = List.of(new BackendRecord(server, 0));
    assertThrows(
        InvariantViolation.class,
        () -> BackendSnapshot.of(records, marked -> true, EventSink.none()));
  }
}
