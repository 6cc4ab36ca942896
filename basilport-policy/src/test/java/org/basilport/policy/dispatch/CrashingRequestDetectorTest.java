package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests that crash servers, and requests whose connections are lost for other reasons. */
class CrashingRequestDetectorTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CRASHING_FINGERPRINT = 7;

  private final CrashingRequestDetector detector = new CrashingRequestDetector();

  private void crash(String server, long now) {
    detector.recordLostConnection(CRASHING_FINGERPRINT, server, 1, now);
    detector.recordDeadServer(server, 1, now + SECOND_NANOS);
  }

  /** Guards against a request that is retried until it has crashed every server. */
  @Test
  void quarantinesAfterThreeCrashes() {
    crash("a", 0);
    crash("b", 10 * SECOND_NANOS);
    assertThat(detector.quarantined(CRASHING_FINGERPRINT, 11 * SECOND_NANOS)).isFalse();
    crash("c", 20 * SECOND_NANOS);

    assertThat(detector.quarantined(CRASHING_FINGERPRINT, 21 * SECOND_NANOS)).isTrue();
    assertThat(detector.quarantined(8, 21 * SECOND_NANOS)).isFalse();
  }

  /** Guards against rejecting harmless requests because connections were reset. */
  @Test
  void doesNotCountLostConnectionsOfLiveServers() {
    for (int i = 0; i < 10; i++) {
      detector.recordLostConnection(CRASHING_FINGERPRINT, "server-" + i, 1, i * SECOND_NANOS);
    }
    detector.recordDeadServer("server-0", 1, 20 * SECOND_NANOS);

    assertThat(detector.quarantined(CRASHING_FINGERPRINT, 20 * SECOND_NANOS)).isFalse();
  }

  /** Guards against missing a crash when the server is reported dead before the lost connection. */
  @Test
  void countsLostConnectionAfterReportOfDeadServer() {
    for (String server : new String[] {"a", "b", "c"}) {
      detector.recordDeadServer(server, 1, 0);
      detector.recordLostConnection(CRASHING_FINGERPRINT, server, 1, SECOND_NANOS);
    }

    assertThat(detector.quarantined(CRASHING_FINGERPRINT, 2 * SECOND_NANOS)).isTrue();
  }

  /** Guards against counting a crash once for each instance that reports it. */
  @Test
  void countsCrashOnce() {
    CrashingRequestDetector.Crash crash =
        new CrashingRequestDetector.Crash(CRASHING_FINGERPRINT, "a", 1);

    assertThat(detector.addCrash(crash, 0)).isTrue();
    assertThat(detector.addCrash(crash, 1)).isFalse();
    detector.addCrash(new CrashingRequestDetector.Crash(CRASHING_FINGERPRINT, "a", 2), 2);
    detector.addCrash(new CrashingRequestDetector.Crash(CRASHING_FINGERPRINT, "b", 1), 3);
    assertThat(detector.quarantined(CRASHING_FINGERPRINT, 4)).isTrue();
  }

  /** Guards against rejecting a request for ever. */
  @Test
  void dropsCrashesAfterRetentionPeriod() {
    crash("a", 0);
    crash("b", 0);
    crash("c", 0);

    assertThat(detector.quarantined(CRASHING_FINGERPRINT, 302 * SECOND_NANOS)).isFalse();
  }
}
