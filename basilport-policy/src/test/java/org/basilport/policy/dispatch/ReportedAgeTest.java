package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Times that instances tell each other again and again. */
class ReportedAgeTest {
  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long OBSERVED_NANOS = 123_456_789;
  private static final int REPORTS = 1_000;

  private final SplittableRandom random = new SplittableRandom(1);

  /** Guards against an observation that becomes younger with each report of it. */
  @Test
  void neverMakesATimeLater() {
    long told = OBSERVED_NANOS;
    long now = OBSERVED_NANOS;
    for (int i = 0; i < REPORTS; i++) {
      now += random.nextLong(400 * MILLI_NANOS);
      long age = ReportedAge.notLater(told, now);
      now += random.nextLong(15 * MILLI_NANOS);
      long received = ReportedAge.toNanos(age, now);
      assertThat(received).isAtMost(told);
      told = Math.max(told, received);
    }

    assertThat(told).isEqualTo(OBSERVED_NANOS);
  }

  /** Guards against a beginning that becomes earlier with each report of it. */
  @Test
  void neverMakesATimeEarlier() {
    long told = OBSERVED_NANOS;
    long now = OBSERVED_NANOS;
    for (int i = 0; i < REPORTS; i++) {
      now += random.nextLong(400 * MILLI_NANOS);
      long age = ReportedAge.notEarlier(told, now);
      now += random.nextLong(15 * MILLI_NANOS);
      told = Math.min(told, ReportedAge.toNanos(age, now));
    }

    assertThat(told).isEqualTo(OBSERVED_NANOS);
  }

  /** Guards against times of the future, which a paused process may compute. */
  @Test
  void roundsNegativeAgesInTheSameDirection() {
    assertThat(ReportedAge.toNanos(ReportedAge.notLater(10, 0), 0)).isAtMost(10);
    assertThat(ReportedAge.toNanos(ReportedAge.notEarlier(10, 0), 0)).isAtLeast(10);
  }
}
