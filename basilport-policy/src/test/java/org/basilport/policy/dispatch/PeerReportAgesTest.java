package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Ages of reports, and the judgement on the instances that sent them. */
class PeerReportAgesTest {
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long LONGEST_NANOS = TimeUnit.SECONDS.toNanos(7);

  /**
   * Guards against work that counts as current although its instance is silent, and against reports
   * that count for a longer time than the work in them.
   */
  @Test
  void endWithTheWorkOfTheInstance() {
    for (long age = STEP_NANOS; age <= LONGEST_NANOS; age += STEP_NANOS) {
      PeerReportAges ages = new PeerReportAges();
      ages.record("peer", 0);
      PeerLiveness liveness = PeerLiveness.of(age, PeerLiveness.REPORT_TIMEOUT_NANOS);
      assertWithMessage("age of changes after %s ns is that of the report", age)
          .that(ages.changeNanos(age) == age)
          .isEqualTo(liveness == PeerLiveness.SILENT);
      assertWithMessage("report of %s ns counts", age)
          .that(ages.heartbeatNanos(age) > 0)
          .isEqualTo(liveness != PeerLiveness.GONE);
    }
  }

  /** Guards against instances that are silent because of two lost datagrams. */
  @Test
  void leaveTimeForThreeHeartbeats() {
    assertThat(PeerLiveness.REPORT_TIMEOUT_NANOS)
        .isGreaterThan(3 * HeartbeatSchedule.INTERVAL_NANOS);
  }
}
