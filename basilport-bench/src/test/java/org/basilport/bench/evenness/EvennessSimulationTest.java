package org.basilport.bench.evenness;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.basilport.bench.evenness.EvennessSimulation.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load of many instances that choose by reports of a known age, without a network. */
class EvennessSimulationTest {
  private static final int INSTANCES = 73;
  private static final long DURATION_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static Result run(ServerKind kind, Variant variant, long ageMillis, long seed) {
    long age = TimeUnit.MILLISECONDS.toNanos(ageMillis);
    return new EvennessSimulation(kind, variant, INSTANCES, age, seed).run(DURATION_NANOS);
  }

  /**
   * Guards against engines that are overloaded in turn while others are idle: at the age of reports
   * of a cell and at ten times this age.
   */
  @ParameterizedTest
  @CsvSource({"20,1", "20,2", "20,3", "200,1", "200,2", "200,3"})
  void fillsEnginesMoreEvenlyThanByKnownWorkAlone(long ageMillis, long seed) {
    Result known = run(ServerKind.ENGINE, Variant.PRESENT, ageMillis, seed);
    Result expected = run(ServerKind.ENGINE, Variant.STALE_WORK, ageMillis, seed);
    assertThat(expected.unevenShare()).isLessThan(known.unevenShare());
    assertThat(expected.imbalance()).isLessThan(known.imbalance());
    assertThat(expected.meanWaitMillis()).isLessThan(known.meanWaitMillis());
  }

  /** Guards against a comparison of runs whose result does not depend on the seed alone. */
  @Test
  void repeatsARunWithItsSeed() {
    assertThat(run(ServerKind.APPLICATION, Variant.STALE_WORK, 200, 1))
        .isEqualTo(run(ServerKind.APPLICATION, Variant.STALE_WORK, 200, 1));
  }
}
