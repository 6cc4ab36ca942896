package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Plays instances that wait for the same room. */
class FreedCapacityDelayTest {
  private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final int WAITING = 6;
  private static final int ROUNDS = 1_000;

  /** Guards against instances that all take the room of one generation in the same moment. */
  @Test
  void mostSeeTheRoomTakenBeforeTheyTry() {
    FreedCapacityDelay delay = new FreedCapacityDelay(new SplittableRandom(3));
    long placed = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long[] tries = new long[WAITING];
      Arrays.setAll(tries, i -> delay.nextNanos());
      long first = Arrays.stream(tries).min().orElseThrow();
      placed += Arrays.stream(tries).filter(t -> t < first + REPORT_NANOS).count();
    }
    assertThat((double) placed / ROUNDS).isLessThan(WAITING / 3.0);
  }
}
