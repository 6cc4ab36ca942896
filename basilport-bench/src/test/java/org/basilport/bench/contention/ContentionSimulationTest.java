package org.basilport.bench.contention;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays 24 workspaces that request three times the capacity through 60 instances. */
class ContentionSimulationTest {
  /** Largest difference from equal weights, from docs/hard-load.md, section 5. */
  private static final double MAX_DIFFERENCE = 0.1;

  private static final int WORKSPACES = 24;
  private static final int SECONDS = 100;
  private static final double DEMAND = 3;

  private static ContentionResult run(
      CallerBehaviour behaviour, double lostReports, int restartEverySeconds, boolean fair) {
    return new ContentionSimulation(
            new ContentionSettings(
                behaviour, 3, WORKSPACES, SECONDS, DEMAND, lostReports, restartEverySeconds, fair))
        .run();
  }

  private static void assertEqualShares(ContentionResult result) {
    for (double share : result.shares()) {
      assertThat(share).isWithin(MAX_DIFFERENCE).of(1);
    }
  }

  /**
   * Guards against callers that gain capacity, or are starved, because they send often, send small
   * or large requests, return at once or use many or few instances.
   */
  @ParameterizedTest
  @EnumSource(CallerBehaviour.class)
  void givesEachWorkspaceItsShareWhateverItsCallersDo(CallerBehaviour behaviour) {
    ContentionResult result = run(behaviour, 0, 0, true);
    assertEqualShares(result);
    assertWithMessage("refusals while a slot was free")
        .that((double) result.refusedWithCapacity() / result.refused())
        .isAtMost(0.01);
    assertThat(result.utilization()).isAtLeast(0.95);
  }

  /** Guards against shares that depend on each report, and on the memory of each instance. */
  @Test
  void keepsSharesWhileReportsAreLostAndInstancesRestart() {
    assertEqualShares(run(CallerBehaviour.RETURN_AT_ONCE, 0.3, 2, true));
  }

  /** Guards against a simulation in which no queue could fail. */
  @Test
  void showsTheGainOfCallersThatReturnAtOnceInAQueueByArrival() {
    assertThat(run(CallerBehaviour.RETURN_AT_ONCE, 0, 0, false).first()).isAtLeast(1.3);
  }
}
