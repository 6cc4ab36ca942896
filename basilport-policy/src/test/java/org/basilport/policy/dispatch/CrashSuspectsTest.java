package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests that crash servers, and requests whose connections are lost for other reasons. */
class CrashSuspectsTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long CRASHING = 7;

  private final CrashSuspects suspects = new CrashSuspects();

  private void crash(String server, long now) {
    suspects.recordLoss(CRASHING, server, 1, now);
    suspects.confirmDeath(server, 1, now + SECOND);
  }

  /** Guards against a request that is retried until it has crashed every server. */
  @Test
  void refusesAfterThreeDeaths() {
    crash("a", 0);
    crash("b", 10 * SECOND);
    assertThat(suspects.refused(CRASHING, 11 * SECOND)).isFalse();
    crash("c", 20 * SECOND);

    assertThat(suspects.refused(CRASHING, 21 * SECOND)).isTrue();
    assertThat(suspects.refused(8, 21 * SECOND)).isFalse();
  }

  /** Guards against refusing harmless requests because connections were reset. */
  @Test
  void doesNotCountLossesOfLivingServers() {
    for (int i = 0; i < 10; i++) {
      suspects.recordLoss(CRASHING, "server-" + i, 1, i * SECOND);
    }
    suspects.confirmDeath("server-0", 1, 20 * SECOND);

    assertThat(suspects.refused(CRASHING, 20 * SECOND)).isFalse();
  }

  /** Guards against missing a crash when the death is reported before the lost connection. */
  @Test
  void countsALossAfterTheNewsOfTheDeath() {
    for (String server : new String[] {"a", "b", "c"}) {
      suspects.confirmDeath(server, 1, 0);
      suspects.recordLoss(CRASHING, server, 1, SECOND);
    }

    assertThat(suspects.refused(CRASHING, 2 * SECOND)).isTrue();
  }

  /** Guards against counting a death once for each instance that reports it. */
  @Test
  void countsADeathOnce() {
    CrashSuspects.Death death = new CrashSuspects.Death(CRASHING, "a", 1);

    assertThat(suspects.addDeath(death, 0)).isTrue();
    assertThat(suspects.addDeath(death, 1)).isFalse();
    suspects.addDeath(new CrashSuspects.Death(CRASHING, "a", 2), 2);
    suspects.addDeath(new CrashSuspects.Death(CRASHING, "b", 1), 3);
    assertThat(suspects.refused(CRASHING, 4)).isTrue();
  }

  /** Guards against refusing a request for ever. */
  @Test
  void forgetsDeaths() {
    crash("a", 0);
    crash("b", 0);
    crash("c", 0);

    assertThat(suspects.refused(CRASHING, 302 * SECOND)).isFalse();
  }
}
