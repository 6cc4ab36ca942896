package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests that crash servers, and requests whose connections are lost for other reasons. */
class CrashingRequestDetectorTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final RequestContent CRASHING = new RequestContent(7, List.of());

  private final CrashingRequestDetector detector = new CrashingRequestDetector();

  private void crash(String server, long now) {
    detector.recordLostConnection(CRASHING, false, server, 1, now);
    detector.recordDeadServer(server, 1, now + SECOND_NANOS);
  }

  private boolean quarantined(RequestContent content, long now) {
    return detector.quarantine(content, now).isPresent();
  }

  /** Guards against a request that is retried until it has crashed every server. */
  @Test
  void quarantinesAfterThreeCrashes() {
    crash("a", 0);
    crash("b", 10 * SECOND_NANOS);
    assertThat(quarantined(CRASHING, 11 * SECOND_NANOS)).isFalse();
    crash("c", 20 * SECOND_NANOS);

    assertThat(quarantined(CRASHING, 21 * SECOND_NANOS)).isTrue();
    assertThat(quarantined(new RequestContent(8, List.of()), 21 * SECOND_NANOS)).isFalse();
  }

  /** Guards against rejecting harmless requests because connections were reset. */
  @Test
  void doesNotCountLostConnectionsOfLiveServers() {
    for (int i = 0; i < 10; i++) {
      detector.recordLostConnection(CRASHING, false, "server-" + i, 1, i * SECOND_NANOS);
    }
    detector.recordDeadServer("server-0", 1, 20 * SECOND_NANOS);

    assertThat(quarantined(CRASHING, 20 * SECOND_NANOS)).isFalse();
  }

  /** Guards against missing a crash when the server is reported dead before the lost connection. */
  @Test
  void countsLostConnectionAfterReportOfDeadServer() {
    for (String server : new String[] {"a", "b", "c"}) {
      detector.recordDeadServer(server, 1, 0);
      detector.recordLostConnection(CRASHING, false, server, 1, SECOND_NANOS);
    }

    assertThat(quarantined(CRASHING, 2 * SECOND_NANOS)).isTrue();
  }

  /** Guards against counting a crash once for each instance that reports it. */
  @Test
  void countsCrashOnce() {
    CrashEvidence crash = new CrashEvidence(CRASHING, false, "a", 1);

    assertThat(detector.addCrash(crash, 0, 0)).isTrue();
    assertThat(detector.addCrash(crash, 1, 1)).isFalse();
    detector.addCrash(new CrashEvidence(CRASHING, false, "a", 2), 2, 2);
    detector.addCrash(new CrashEvidence(CRASHING, false, "b", 1), 3, 3);
    assertThat(quarantined(CRASHING, 4)).isTrue();
  }

  /** Guards against rejecting a request for ever. */
  @Test
  void dropsCrashesAfterRetentionPeriod() {
    crash("a", 0);
    crash("b", 0);
    crash("c", 0);

    assertThat(quarantined(CRASHING, 302 * SECOND_NANOS)).isFalse();
  }
}
