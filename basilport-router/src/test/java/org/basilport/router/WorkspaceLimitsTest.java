package org.basilport.router;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import org.basilport.config.Workspace;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.misc.VirtualScheduler;
import org.junit.jupiter.api.Test;

class WorkspaceLimitsTest {
  private static final int INSTANCES = 6;

  private final VirtualScheduler clock = new VirtualScheduler(Instant.EPOCH);
  private final WorkspaceLimits limits = new WorkspaceLimits(clock);
  private final Workspace workspace = new Workspace("w", "", 1, 1_000, 60);

  private int admitted(int offered) {
    int admitted = 0;
    for (int i = 0; i < offered; i++) {
      try {
        limits.acquire(workspace, INSTANCES).run();
        admitted++;
      } catch (RejectedException e) {
        assertThat(e.code()).isEqualTo(FailureCode.OVER_LIMIT);
      }
    }
    return admitted;
  }

  /** Guards against a total rate that grows with the number of instances. */
  @Test
  void rateIsSharedBetweenInstances() {
    assertThat(admitted(1_000)).isEqualTo(20);

    clock.runFor(Duration.ofSeconds(1));

    assertThat(admitted(1_000)).isEqualTo(10);
  }

  /** Guards against a retry delay after which the request is rejected again. */
  @Test
  void rejectedRequestIsAdmittedAfterRetryDelay() {
    admitted(1_000);
    RejectedException rejection =
        assertThrows(RejectedException.class, () -> limits.acquire(workspace, INSTANCES));

    clock.runFor(rejection.retryAfter().orElseThrow());

    assertThat(admitted(1)).isEqualTo(1);
  }
}
