package org.basilport.bench.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SoakRunTest {
  private static final long STEPS = 150_000;

  @Nested
  class Guarantees {
    /** Guards against violated guarantees under random faults, one or two at a time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 3, 7})
    void holdUnderFaults(long seed) {
      SoakReport report = new SoakRun(SoakSettings.ofSeed(seed, STEPS)).run();

      assertWithMessage(report.timeline()).that(report.violation()).isEmpty();
      assertThat(report.counts().count("generation.complete")).isGreaterThan(50);
      assertThat(report.counts().count("call.complete")).isGreaterThan(20);
    }
  }

  @Nested
  class Reproducibility {
    /** Guards against nondeterminism beyond the seed, which makes violations irreproducible. */
    @Test
    void theSameSeedGivesTheSameTrace() {
      SoakSettings settings = SoakSettings.ofSeed(11, STEPS / 3);

      long first = new SoakRun(settings).run().traceHash();
      long second = new SoakRun(settings).run().traceHash();

      assertThat(first).isEqualTo(second);
    }
  }
}
