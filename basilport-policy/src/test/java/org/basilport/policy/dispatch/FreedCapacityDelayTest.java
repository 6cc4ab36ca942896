package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FreedCapacityDelayTest {
  private static final long REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final int WAITING_INSTANCES = 6;
  private static final int ROUNDS = 1_000;

  /**
   * Guards against several instances that place a generation on the same freed capacity, because
   * none has seen the report of another. Most must retry later than the first report arrives.
   */
  @Test
  void mostInstancesRetryAfterFirstReport() {
    FreedCapacityDelay delay = new FreedCapacityDelay(new SplittableRandom(3));
    long placed = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long[] delays = new long[WAITING_INSTANCES];
      Arrays.setAll(delays, i -> delay.nextNanos());
      long first = Arrays.stream(delays).min().orElseThrow();
      placed +=
          Arrays.stream(delays)
              .filter(delayNanos -> delayNanos < first + REPORT_DELAY_NANOS)
              .count();
    }
    assertThat((double) placed / ROUNDS).isLessThan(WAITING_INSTANCES / 3.0);
  }
}
