package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Attribution of crashes to the part of the prompts that causes them. */
class CrashingPromptPartTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_LATE_SENDS = 3;
  private static final int SEEDS = 2;
  private static final long SHARED_PART = 1;
  private static final long CRASHING_PART = 2;

  @Nested
  class Decisions {
    private final CrashingRequestDetector detector = new CrashingRequestDetector();
    private long now;
    private int servers;

    private RequestContent request(long fingerprint, Long... parts) {
      return new RequestContent(fingerprint, List.of(parts));
    }

    private void crash(RequestContent... answering) {
      String server = "server-" + servers++;
      for (RequestContent content : answering) {
        detector.recordLostConnection(content, true, server, 1, now);
      }
      detector.recordDeadServer(server, 1, now);
      now += SECOND / 5;
    }

    private boolean quarantined(RequestContent content) {
      return detector.quarantine(content, now).isPresent();
    }

    /** Guards against rejecting sound requests that share the first part of crashing ones. */
    @Test
    void blamesThePartThatNoServerAnswered() {
      detector.recordSound(request(1, SHARED_PART), now);
      for (int i = 0; i < 3; i++) {
        crash(request(10 + i, SHARED_PART, CRASHING_PART));
      }
      now += SECOND;

      assertThat(quarantined(request(20, SHARED_PART, CRASHING_PART))).isTrue();
      assertThat(quarantined(request(21, SHARED_PART))).isFalse();
    }

    /** Guards against blaming a part for the crashes of a single request. */
    @Test
    void blamesARequestThatCrashesServersAlone() {
      detector.recordSound(request(1, SHARED_PART), now);
      for (int i = 0; i < 3; i++) {
        crash(request(10, SHARED_PART, 3L));
      }
      now += 2 * SECOND;

      assertThat(quarantined(request(10, SHARED_PART, 3L))).isTrue();
      assertThat(quarantined(request(11, SHARED_PART, 3L))).isFalse();
    }

    /** Guards against blaming requests that waited at a server when another one crashed it. */
    @Test
    void ignoresWaitingRequestsBesideAnAnswer() {
      for (int i = 0; i < 4; i++) {
        String server = "server-" + i;
        detector.recordLostConnection(request(10 + i, 5L), false, server, 1, now);
        detector.recordLostConnection(request(20 + i, CRASHING_PART), true, server, 1, now);
        detector.recordDeadServer(server, 1, now);
        now += SECOND / 5;
      }
      now += 2 * SECOND;

      assertThat(quarantined(request(30, 5L))).isFalse();
      assertThat(quarantined(request(31, CRASHING_PART))).isTrue();
    }

    /** Guards against a part that was sound until the engines changed. */
    @Test
    void blamesAnAnsweredPartAfterFiveCrashesWithoutAnother() {
      detector.recordSound(request(1, SHARED_PART), now);
      for (int i = 0; i < 5; i++) {
        crash(request(10 + i, SHARED_PART, 100L + i));
      }
      assertThat(quarantined(request(20, SHARED_PART))).isFalse();
      now += 2 * SECOND;

      assertThat(quarantined(request(20, SHARED_PART))).isTrue();
    }

    /** Guards against rejecting a part for ever that was blamed by mistake. */
    @Test
    void liftsTheQuarantineOfAPartThatAServerAnswers() {
      for (int i = 0; i < 3; i++) {
        crash(request(10 + i, CRASHING_PART));
      }
      now += SECOND;
      assertThat(quarantined(request(20, CRASHING_PART))).isTrue();
      detector.addSound(CRASHING_PART, now);

      assertThat(quarantined(request(20, CRASHING_PART))).isFalse();
    }

    /** Guards against a further series of crashes after the end of a quarantine. */
    @Test
    void quarantinesAgainAfterOneCrash() {
      for (int i = 0; i < 3; i++) {
        crash(request(10 + i, CRASHING_PART));
      }
      now += SECOND;
      assertThat(quarantined(request(20, CRASHING_PART))).isTrue();
      now += 301 * SECOND;
      assertThat(quarantined(request(20, CRASHING_PART))).isFalse();
      crash(request(20, CRASHING_PART));

      assertThat(quarantined(request(21, CRASHING_PART))).isTrue();
    }
  }

  @Nested
  class Progress {
    private final AnswerProgress progress = new AnswerProgress();

    /** Guards against blaming a long generation for the crash of its engine. */
    @Test
    void provesARequestSoundOnceItsAnswerGoesOn() {
      progress.recordSend();
      progress.recordStart(SECOND);
      assertThat(progress.recordContinuation(SECOND + SECOND / 2)).isFalse();
      assertThat(progress.sound()).isFalse();
      assertThat(progress.recordContinuation(SECOND + SECOND / 2 + 1)).isTrue();
      assertThat(progress.recordContinuation(2 * SECOND)).isFalse();
      assertThat(progress.sound()).isTrue();
    }

    /** Guards against proving a request sound by the answer of an earlier attempt. */
    @Test
    void beginsAnewWithEachSend() {
      progress.recordStart(0);
      progress.recordSend();
      assertThat(progress.answering()).isFalse();
      assertThat(progress.recordContinuation(5 * SECOND)).isFalse();
      progress.recordStart(5 * SECOND);
      assertThat(progress.recordContinuation(5 * SECOND + 1)).isFalse();
    }
  }

  /** Load: the largest deployment, with 95 instances, 28 engines and 44 sound requests a second. */
  @Nested
  class Fleets {
    private static final double USUAL_LOSS = 0.02;
    private static final double HEAVY_LOSS = 0.3;

    private void check(CrashingFleet fleet, String description) {
      assertWithMessage(description).that(fleet.attributableCrashes()).isGreaterThan(0);
      assertWithMessage(description).that(fleet.lateSends()).isAtMost(MAX_LATE_SENDS);
      assertWithMessage(description)
          .that(fleet.soundRejected())
          .isAtMost(fleet.soundRequests() / 100);
    }

    /** Guards against crashes that go on because no two of the requests are alike. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void stopAPartWhereverItStandsInThePrompt(int position) {
      for (int seed = 1; seed <= SEEDS; seed++) {
        CrashingFleet fleet = new CrashingFleet(seed, position, USUAL_LOSS);
        fleet.sendSound(40 * SECOND);
        fleet.run(10 * SECOND);
        fleet.sendCrashing(30 * SECOND);
        fleet.run(30 * SECOND);
        check(fleet, "seed " + seed);
      }
    }

    /** Guards against decisions that rely on each report arriving. */
    @Test
    void stopAPartWhileReportsAreLost() {
      for (int seed = 1; seed <= SEEDS; seed++) {
        CrashingFleet fleet = new CrashingFleet(seed, 1, HEAVY_LOSS);
        fleet.sendSound(40 * SECOND);
        fleet.run(10 * SECOND);
        fleet.sendCrashing(30 * SECOND);
        fleet.run(30 * SECOND);
        check(fleet, "seed " + seed);
      }
    }

    /** Guards against blaming the parts of sound requests before any of them was answered. */
    @Test
    void stopAPartFromTheFirstSecond() {
      for (int seed = 1; seed <= SEEDS; seed++) {
        CrashingFleet fleet = new CrashingFleet(seed, 1, USUAL_LOSS);
        fleet.sendSound(30 * SECOND);
        fleet.sendCrashing(30 * SECOND);
        fleet.run(30 * SECOND);
        check(fleet, "seed " + seed);
      }
    }

    /** Guards against a further series of crashes after a restart of all instances. */
    @Test
    void stopAPartAcrossARestartOfAllInstances() {
      for (int seed = 1; seed <= SEEDS; seed++) {
        CrashingFleet fleet = new CrashingFleet(seed, 1, USUAL_LOSS);
        fleet.sendSound(30 * SECOND);
        fleet.run(5 * SECOND);
        fleet.sendCrashing(25 * SECOND);
        fleet.run(10 * SECOND);
        List<Quarantine> stored = fleet.quarantines(0);
        fleet.restartInstances(
            detector -> stored.forEach(quarantine -> detector.addQuarantine(quarantine, 0)));
        fleet.run(15 * SECOND);
        check(fleet, "seed " + seed);
      }
    }

    /** Guards against blaming sound requests for crashes that have another cause. */
    @Test
    void quarantineNothingWhenWholeDomainsCrash() {
      for (int seed = 1; seed <= SEEDS; seed++) {
        CrashingFleet fleet = new CrashingFleet(seed, 1, USUAL_LOSS);
        fleet.sendSound(40 * SECOND);
        for (int i = 0; i < 6; i++) {
          fleet.run(5 * SECOND);
          fleet.crashDomain();
        }
        fleet.run(10 * SECOND);

        assertWithMessage("seed " + seed).that(fleet.soundRejected()).isEqualTo(0);
        assertWithMessage("seed " + seed).that(fleet.quarantines(0)).isEmpty();
      }
    }
  }
}
