package org.basilport.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a load run that loses, repeats or mixes up tokens, or that does not end. */
class LoadBenchmarkTest {
  private static final LoadSettings SMALL =
      new LoadSettings(2, 10, 5, Duration.ofMillis(5), Duration.ZERO, Duration.ofSeconds(1), 0);

  @Test
  void everyStreamOfBothPathsIsComplete() throws Exception {
    LoadReport report = new LoadBenchmark(SMALL, line -> {}).run(false);

    assertThat(report.complete()).isTrue();
    assertThat(report.direct().completed()).isEqualTo(report.direct().started());
    assertThat(report.daemon().completed()).isEqualTo(report.daemon().started());
    assertThat(report.daemon().tokens()).isEqualTo(5 * report.daemon().started());
  }

  @Test
  void streamsStayOpenWhileHeapIsRead() throws Exception {
    LoadSettings held =
        new LoadSettings(
            2, 10, 1_000, Duration.ofMillis(200), Duration.ZERO, Duration.ofSeconds(1), 8);

    LoadReport report = new LoadBenchmark(held, line -> {}).run(false);

    assertThat(report.heapSteps()).hasSize(5);
    assertThat(report.daemon().failed()).isEqualTo(0);
    assertThat(report.daemon().faulty()).isEqualTo(0);
  }
}
