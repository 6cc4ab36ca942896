package org.basilport.policy.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.basilport.policy.dispatch.SendCheck.Conditions;
import org.basilport.policy.dispatch.SendCheck.Result;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the decisions on what may still be sent, kept and awaited. */
class SendDecisionsTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  @Nested
  class Sends {
    private Result check(
        boolean connected, long remainingMillis, boolean keyKnown, long proofAge, boolean leaving) {
      return SendCheck.check(
          new Conditions(
              connected,
              remainingMillis,
              true,
              keyKnown,
              proofAge,
              4_600,
              false,
              true,
              leaving,
              false));
    }

    /** Guards against a request that reaches a server which has asked for a pause meanwhile. */
    @Test
    void checksThePauseOfTheServer() {
      Conditions paused = new Conditions(true, 500, true, true, 0, 4_600, false, true, false, true);
      assertThat(SendCheck.check(paused)).isEqualTo(Result.SERVER_PAUSED);
    }

    /** Guards against sending a request on a permission that ran out while it waited. */
    @Test
    void checksEachPermission() {
      assertThat(check(true, 500, true, 4_600, false)).isEqualTo(Result.PERMITTED);
      assertThat(check(false, 500, true, 0, false)).isEqualTo(Result.CALLER_LEFT);
      assertThat(check(true, 0, true, 0, false)).isEqualTo(Result.DEADLINE_PASSED);
      assertThat(check(true, -3_000, true, 0, false)).isEqualTo(Result.DEADLINE_PASSED);
      assertThat(check(true, 500, false, 0, false)).isEqualTo(Result.KEY_WITHDRAWN);
      assertThat(check(true, 500, true, 4_601, false)).isEqualTo(Result.KEY_NOT_PROVEN);
      assertThat(check(true, 500, true, 0, true)).isEqualTo(Result.SERVER_LEAVING);
    }

    /** Guards against cutting a stream that has started because the store is away. */
    @Test
    void continuesAStartedResponseWithoutAProof() {
      Conditions started =
          new Conditions(true, 500, false, false, Long.MAX_VALUE, 4_600, false, true, false, false);
      assertThat(SendCheck.check(started)).isEqualTo(Result.PERMITTED);
    }

    /** Guards against a second run of a request that may run once, whatever led to the send. */
    @Test
    void doesNotBeginARequestThatHasRun() {
      Conditions started =
          new Conditions(true, 500, false, false, 0, 4_600, false, false, false, false);
      assertThat(SendCheck.check(started)).isEqualTo(Result.ALREADY_RUN);
    }
  }

  @Nested
  class Deadlines {
    private final Deadline deadline = new Deadline(0, 0, Duration.ofMillis(2_500));

    /** Guards against a server that is given more time than the caller waits. */
    @Test
    void countsDown() {
      assertThat(deadline.remaining(SECOND, 1_000)).isEqualTo(Duration.ofMillis(1_500));
      assertThat(deadline.remaining(6 * SECOND, 6_000).isNegative()).isTrue();
    }

    /** Guards against a deadline that a suspension of the machine extends. */
    @Test
    void passesWhileTheMachineIsSuspended() {
      assertThat(deadline.remaining(SECOND / 5, 6_000).isNegative()).isTrue();
    }

    /** Guards against a time of day that was set back, which extends no deadline. */
    @Test
    void ignoresATimeOfDayThatWasSetBack() {
      assertThat(deadline.remaining(SECOND, -5_000)).isEqualTo(Duration.ofMillis(1_500));
    }
  }

  @Nested
  class Pauses {
    private final PauseDetector detector = new PauseDetector(SECOND);

    /** Guards against reading what arrived during a pause as if it were new. */
    @Test
    void detectsAFrozenProcess() {
      assertThat(detector.tick(0, 0)).isEqualTo(0);
      assertThat(detector.pauseNanos(SECOND / 5, 200)).isEqualTo(0);
      assertThat(detector.pauseNanos(6 * SECOND, 6_000)).isEqualTo(6 * SECOND);
      assertThat(detector.tick(6 * SECOND, 6_000)).isEqualTo(6 * SECOND);
      assertThat(detector.pauseNanos(6 * SECOND + 1, 6_000)).isEqualTo(0);
    }

    /** Guards against missing a suspension, during which the monotonic clock stands still. */
    @Test
    void detectsASuspendedMachine() {
      detector.tick(0, 0);
      assertThat(detector.pauseNanos(SECOND / 5, 5_000)).isEqualTo(5 * SECOND);
    }
  }

  @Nested
  class ResponseBuffers {
    private static final int PART = 16_384;

    private long fill(ResponseBufferBudget budget) {
      long held = 0;
      while (budget.tryReserve(held, PART)) {
        held += PART;
      }
      return held;
    }

    /** Load: 50 servers send bodies without end, and others answer as usual. */
    @Test
    void boundsEndlessBodiesAndServesOthers() {
      long limit = 20_000_000;
      ResponseBufferBudget budget = new ResponseBufferBudget(limit);
      for (int server = 0; server < 50; server++) {
        fill(budget);
      }
      assertThat(budget.usedBytes()).isAtMost(limit + 50 * 2 * PART);
      assertThat(budget.tryReserve(0, PART)).isTrue();
    }

    /** Guards against a budget that is used up by bodies that were given up. */
    @Test
    void returnsReleasedMemory() {
      ResponseBufferBudget budget = new ResponseBufferBudget(20_000_000);
      budget.release(fill(budget));
      assertThat(budget.usedBytes()).isEqualTo(0);
      assertThat(fill(budget)).isGreaterThan(1_000_000);
    }
  }

  @Nested
  class EventGaps {
    /** Guards against cutting slow streams before their callers give up. */
    @Test
    void usesTheLongestOfTheThree() {
      Duration minimum = Duration.ofSeconds(2);
      assertThat(EventGapLimit.of(minimum, Duration.ofMillis(1_800), Duration.ofMillis(180)))
          .isEqualTo(Duration.ofMillis(7_200));
      assertThat(EventGapLimit.of(minimum, Duration.ofMillis(100), Duration.ofMillis(500)))
          .isEqualTo(Duration.ofSeconds(4));
      assertThat(EventGapLimit.of(minimum, Duration.ofMillis(100), Duration.ZERO))
          .isEqualTo(minimum);
    }
  }

  @Nested
  class LongPolls {
    private static final long READINESS_LIMIT_MILLIS = 3_000;
    private final LongPollTiming timing =
        new LongPollTiming(Duration.ofMillis(1_200), Duration.ofMillis(700));

    /** Age of the proof right before the second of two responses of a store with this delay. */
    private long proofAgeMillis(long delayMillis) {
      long age = 0;
      for (int call = 0; call < 2; call++) {
        long wait = timing.nextWait().toMillis();
        age += wait + delayMillis;
        timing.recordDelay(Duration.ofMillis(delayMillis));
      }
      return age;
    }

    /** Load: a store that takes 0.6 s for each answer; instances stay ready. */
    @Test
    void keepsProofsFreshWhileTheStoreIsSlow() {
      proofAgeMillis(600);
      assertThat(proofAgeMillis(600)).isLessThan(READINESS_LIMIT_MILLIS);
      assertThat(proofAgeMillis(5)).isLessThan(READINESS_LIMIT_MILLIS);
    }

    /** Guards against taking a store for dead that is slower than the time for a response. */
    @Test
    void leavesMoreTimeAfterACallWithoutAResponse() {
      timing.recordTimeout();
      Duration left = timing.callTimeout().minus(timing.nextWait());
      assertThat(left).isAtLeast(Duration.ofMillis(1_300));
    }

    /** Guards against a store that is asked too often after it has become fast again. */
    @Test
    void returnsToTheFullWait() {
      proofAgeMillis(600);
      for (int i = 0; i < 10; i++) {
        proofAgeMillis(5);
      }
      assertThat(timing.nextWait().toMillis()).isAtLeast(1_190);
    }
  }

  @Nested
  class Peers {
    /** Guards against giving up the work of an instance that was only silent for a while. */
    @Test
    void keepsTheWorkOfASilentInstance() {
      long timeout = 13 * SECOND / 10;
      assertThat(PeerLiveness.of(SECOND, timeout)).isEqualTo(PeerLiveness.REPORTING);
      assertThat(PeerLiveness.of(4 * SECOND, timeout)).isEqualTo(PeerLiveness.SILENT);
      assertThat(PeerLiveness.of(6 * SECOND, timeout)).isEqualTo(PeerLiveness.GONE);
    }
  }

  @Nested
  class Drains {
    /** Load: calls that arrive until the end of the grace period of a stopping instance. */
    @Test
    void rejectsACallThatMightBeCutOff() {
      Duration limit = Duration.ofMillis(1_500);
      assertThat(DrainAdmission.acceptsCall(2 * SECOND, limit)).isTrue();
      assertThat(DrainAdmission.acceptsCall(SECOND, limit)).isFalse();
    }

    /**
     * Load: streams that arrive every 50 ms in a grace period of 8 s and run as long as allowed.
     */
    @Test
    void rejectsAStreamThatMightBeCutOffAndNotBeResumed() {
      long cutoff = 8 * SECOND;
      for (Duration limit : List.of(Duration.ofSeconds(2), Duration.ofSeconds(30))) {
        for (long arrival = 0; arrival <= cutoff; arrival += SECOND / 20) {
          boolean ends = arrival + limit.toNanos() < cutoff;
          assertThat(
                  DrainAdmission.acceptsStream(cutoff - arrival, limit, OptionalInt.of(10), false))
              .isEqualTo(ends);
          assertThat(
                  DrainAdmission.acceptsStream(cutoff - arrival, limit, OptionalInt.empty(), true))
              .isEqualTo(ends);
        }
      }
    }

    /** Guards against rejecting short streams of callers that use an old list of addresses. */
    @Test
    void acceptsAShortStreamThatCanBeResumed() {
      Duration limit = Duration.ofSeconds(30);
      assertThat(DrainAdmission.acceptsStream(7 * SECOND, limit, OptionalInt.of(40), true))
          .isTrue();
      assertThat(DrainAdmission.acceptsStream(7 * SECOND, limit, OptionalInt.of(2_000), true))
          .isFalse();
    }
  }
}
