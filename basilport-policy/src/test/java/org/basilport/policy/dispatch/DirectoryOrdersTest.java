package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Searches the orders of losses, returns and delayed messages for instances that are gone. */
class DirectoryOrdersTest {
  private static final int SEEDS = 1_500;
  private static final int STEPS = 60;

  /** Time after which an instance that is gone must not be returned. */
  private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(7);

  /** Time within which all instances that run are returned once no message is lost. */
  private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

  /** Guards against returning an instance that is gone, in any order of events. */
  @Test
  void returnNoInstanceThatIsGone() {
    for (int seed = 0; seed < SEEDS; seed++) {
      DirectoryFleet fleet = new DirectoryFleet(seed, true, List.of(DirectoryFleet.Fault.values()));
      for (int step = 0; step < STEPS; step++) {
        fleet.step();
        assertWithMessage("seed %s: %s", seed, fleet.trace())
            .that(fleet.longestGoneNanos())
            .isAtMost(LIMIT_NANOS);
      }
    }
  }

  /** Guards against hiding instances that run after a time with losses. */
  @Test
  void returnAllInstancesThatRun() {
    for (int seed = 0; seed < SEEDS; seed++) {
      DirectoryFleet fleet = new DirectoryFleet(seed, true, List.of(DirectoryFleet.Fault.values()));
      for (int step = 0; step < STEPS; step++) {
        fleet.step();
      }
      fleet.runUndisturbed(RETURN_NANOS);
      assertWithMessage("seed %s: %s", seed, fleet.trace())
          .that(fleet.answer())
          .containsAtLeastElementsIn(fleet.runningAddresses());
    }
  }

  /**
   * Guards against orders that are too tame to show anything: a directory that trusts the receipt
   * of a report returns instances that are gone, by each of these faults alone.
   */
  @ParameterizedTest
  @EnumSource(
      value = DirectoryFleet.Fault.class,
      names = {"LATE_MESSAGES", "REPEATED_MESSAGES", "PAUSES"})
  void breakTheReceiptOfReports(DirectoryFleet.Fault fault) {
    int broken = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      DirectoryFleet fleet = new DirectoryFleet(seed, false, List.of(fault));
      long gone = 0;
      for (int step = 0; step < STEPS; step++) {
        fleet.step();
        gone = Math.max(gone, fleet.longestGoneNanos());
      }
      broken += gone > LIMIT_NANOS ? 1 : 0;
    }
    assertThat(broken).isGreaterThan(0);
  }
}
