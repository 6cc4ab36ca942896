package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Attribution of crashes to a request that crashes its servers before they answer it. */
class WaitingCrashingRequestTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long CRASHING = 1;
  private static final int CRASHES_TO_QUARANTINE = 3;
  private static final int TRIES = 2_000;

  private static RequestContent request(long fingerprint) {
    return new RequestContent(fingerprint, List.of());
  }

  @Nested
  class Decisions {
    private final CrashingRequestDetector detector = new CrashingRequestDetector();
    private long now;
    private int servers;

    /** Crashes a server at which some requests wait while the answers to others have begun. */
    private void crash(List<Long> waiting, List<Long> answering) {
      String server = "server-" + servers++;
      waiting.forEach(id -> detector.recordLostConnection(request(id), false, server, 1, now));
      answering.forEach(id -> detector.recordLostConnection(request(id), true, server, 1, now));
      detector.recordDeadServer(server, 1, now);
      now += 2 * SECOND;
    }

    private boolean quarantined(long fingerprint) {
      return detector.quarantine(request(fingerprint), now).isPresent();
    }

    /** Guards against clearing a request because the answers to others had begun beside it. */
    @Test
    void blameARequestThatWaitsBesideAnswers() {
      for (int i = 0; i < CRASHES_TO_QUARANTINE; i++) {
        assertThat(quarantined(CRASHING)).isFalse();
        crash(List.of(CRASHING), List.of(10L + i, 20L + i));
      }

      assertThat(quarantined(CRASHING)).isTrue();
      assertThat(quarantined(10)).isFalse();
    }

    /** Guards against holding back a sound request that was at the same crashes by chance. */
    @Test
    void awaitAFurtherCrashIfTwoRequestsWereAtTheSameOnes() {
      for (int i = 0; i < CRASHES_TO_QUARANTINE; i++) {
        crash(List.of(CRASHING, 2L), List.of(10L + i));
      }
      assertThat(quarantined(2)).isFalse();
      crash(List.of(CRASHING), List.of(20L));

      assertThat(quarantined(CRASHING)).isTrue();
      assertThat(quarantined(2)).isFalse();
    }

    /** Guards against crashes without end if nothing separates two requests. */
    @Test
    void blameRequestsThatNothingSeparates() {
      for (int i = 0; i <= CRASHES_TO_QUARANTINE; i++) {
        crash(List.of(CRASHING, 2L), List.of(10L + i));
      }

      assertThat(quarantined(CRASHING)).isTrue();
      assertThat(quarantined(2)).isTrue();
    }

    /** Guards against holding back a request that a server has answered meanwhile. */
    @Test
    void clearAWaitingRequestThatIsAnsweredLater() {
      crash(List.of(2L), List.of(10L));
      crash(List.of(2L), List.of(11L));
      detector.recordSound(request(2), now);
      crash(List.of(2L), List.of(12L));

      assertThat(quarantined(2)).isFalse();
    }

    /** Guards against a further series of crashes after the end of a quarantine. */
    @Test
    void quarantineAWaitingRequestAgainAfterOneCrash() {
      for (int i = 0; i < CRASHES_TO_QUARANTINE; i++) {
        crash(List.of(CRASHING), List.of(10L + i));
      }
      assertThat(quarantined(CRASHING)).isTrue();
      now += 301 * SECOND;
      assertThat(quarantined(CRASHING)).isFalse();
      crash(List.of(CRASHING), List.of(20L));

      assertThat(quarantined(CRASHING)).isTrue();
    }
  }

  @Group
  class Orders {
    private record Lost(RequestContent content, boolean answering, String server, long at) {}

    /**
     * Guards against a decision that depends on the order in which crashes and answers become
     * known, or on what the servers did beside the request.
     */
    @Property(tries = TRIES, seed = "38")
    void blameOnlyTheRequestThatWasAtAllCrashes(
        @ForAll @IntRange(min = 3, max = 6) int crashes,
        @ForAll @IntRange(min = 0, max = 12) int others,
        @ForAll long seed) {
      SplittableRandom random = new SplittableRandom(seed);
      List<Lost> lost = new ArrayList<>();
      for (int crash = 0; crash < crashes; crash++) {
        long at = crash * SECOND;
        lost.add(new Lost(request(CRASHING), false, "server-" + crash, at));
        for (int i = 0; i < others; i++) {
          // A request is retried once, so it is at two crashes in a row at most.
          long id = 1_000 + 100L * (crash - random.nextInt(2)) + i;
          lost.add(new Lost(request(id), random.nextBoolean(), "server-" + crash, at));
        }
      }
      CrashingRequestDetector detector = new CrashingRequestDetector();
      long now = crashes * SECOND;
      while (!lost.isEmpty()) {
        Lost next = lost.remove(random.nextInt(lost.size()));
        detector.addCrash(
            new CrashEvidence(next.content(), next.answering(), next.server(), 1), next.at(), now);
        now += random.nextLong(SECOND / 20);
        detector.pollChanges(now);
      }
      now += 2 * SECOND;

      assertThat(detector.quarantine(request(CRASHING), now).isPresent()).isTrue();
      for (Quarantine quarantine : detector.quarantines(now)) {
        assertThat(quarantine.content()).isEqualTo(CRASHING);
      }
    }
  }

  /** Load: one request that comes again every two seconds, at any instance, beside sound ones. */
  @Nested
  class Fleets {
    private static final int SEEDS = 4;
    private static final int TIMES = 20;
    private static final double USUAL_LOSS = 0.02;

    private static final int MAX_LATE_CRASHES = 3;

    /** Guards against a request that crashes one server after the other and is never held back. */
    @ParameterizedTest
    @EnumSource(Load.class)
    void holdBackTheRequestAndNoOther(Load load) {
      for (int seed = 1; seed <= SEEDS; seed++) {
        CrashingFleet fleet =
            new CrashingFleet(load.size.crashingBeforeTheFirstByte(), seed, 1, USUAL_LOSS);
        fleet.sendSound((5 + 2 * TIMES) * SECOND);
        fleet.run(5 * SECOND);
        fleet.sendCrashingRequest(TIMES, 2 * SECOND);
        fleet.run(2 * TIMES * SECOND);
        String figures =
            String.format(
                "%s, seed %d: %d crashes, %d of %d sound requests rejected",
                load,
                seed,
                fleet.attributableCrashes(),
                fleet.soundRejected(),
                fleet.soundRequests());
        assertWithMessage(figures)
            .that(fleet.attributableCrashes())
            .isAtMost(CRASHES_TO_QUARANTINE + MAX_LATE_CRASHES);
        assertWithMessage(figures).that(fleet.soundRejected()).isEqualTo(0);
      }
    }
  }

  private enum Load {
    /** Two instances, four engines, 24 streams a second of a second each. */
    SMALL(new CrashingFleet.Size(2, 4, 24, 1_000, 1_000, true)),
    /** The largest deployment. */
    LARGEST(CrashingFleet.Size.LARGEST),
    /** The largest deployment with its engines half full. */
    LARGEST_BUSY(new CrashingFleet.Size(95, 28, 300, 1_000, 2_000, true));

    private final CrashingFleet.Size size;

    Load(CrashingFleet.Size size) {
      this.size = size;
    }
  }
}
