package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Plays requests that crash servers, and innocent ones beside them. */
class CrashingRequestDetectorTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long CRASHING = 7;

  private final CrashingRequestDetector suspects = new CrashingRequestDetector();

  private void crash(String server, long now) {
    suspects.recordLostConnection(CRASHING, server, 1, now);
    suspects.recordServerDeath(server, 1, now + SECOND);
  }

  /** Guards against a request that takes down one server after another. */
  @Test
  void refusesAfterThreeDeaths() {
    crash("a", 0);
    crash("b", 10 * SECOND);
    assertThat(suspects.quarantined(CRASHING, 11 * SECOND)).isFalse();
    crash("c", 20 * SECOND);

    assertThat(suspects.quarantined(CRASHING, 21 * SECOND)).isTrue();
    assertThat(suspects.quarantined(8, 21 * SECOND)).isFalse();
  }

  /** Guards against innocent requests that are refused because connections were reset. */
  @Test
  void doesNotCountLossesOfLivingServers() {
    for (int i = 0; i < 10; i++) {
      suspects.recordLostConnection(CRASHING, "server-" + i, 1, i * SECOND);
    }
    suspects.recordServerDeath("server-0", 1, 20 * SECOND);

    assertThat(suspects.quarantined(CRASHING, 20 * SECOND)).isFalse();
  }

  /** Guards against a death that is missed because its news overtook the lost connection. */
  @Test
  void countsALossAfterTheNewsOfTheDeath() {
    for (String server : new String[] {"a", "b", "c"}) {
      suspects.recordServerDeath(server, 1, 0);
      suspects.recordLostConnection(CRASHING, server, 1, SECOND);
    }

    assertThat(suspects.quarantined(CRASHING, 2 * SECOND)).isTrue();
  }

  /** Guards against one death that is counted for each instance that tells of it. */
  @Test
  void countsADeathOnce() {
    CrashingRequestDetector.Death death = new CrashingRequestDetector.Death(CRASHING, "a", 1);

    assertThat(suspects.addDeath(death, 0)).isTrue();
    assertThat(suspects.addDeath(death, 1)).isFalse();
    suspects.addDeath(new CrashingRequestDetector.Death(CRASHING, "a", 2), 2);
    suspects.addDeath(new CrashingRequestDetector.Death(CRASHING, "b", 1), 3);
    assertThat(suspects.quarantined(CRASHING, 4)).isTrue();
  }

  /** Guards against refusals that never end. */
  @Test
  void forgetsDeaths() {
    crash("a", 0);
    crash("b", 0);
    crash("c", 0);

    assertThat(suspects.quarantined(CRASHING, 302 * SECOND)).isFalse();
  }
}
