package org.basilport.claim;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.event.EventType;
import org.basilport.event.InvariantViolation;
import org.basilport.fake.FakeFleet;
import org.basilport.fake.FakeServiceReplica;
import org.basilport.fake.FakeServiceReplica.Behaviour;
import org.basilport.router.CallRequest;
import org.basilport.router.CallResult;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServiceCallTest {
  private final FakeFleet fleet = new FakeFleet(2, 0);
  private final String key = fleet.scheduler.now().getEpochSecond() - 10 + "-0123456789";

  private CompletableFuture<CallResult> call(int router, String requestKey, boolean repeatable) {
    return fleet
        .routers
        .get(router)
        .call(FakeFleet.CALLER, new CallRequest("move", "/", requestKey, repeatable, "body"));
  }

  private CompletableFuture<CallResult> move(int router) {
    return call(router, key, false);
  }

  private int runs() {
    return fleet.replicas.values().stream()
        .mapToInt(replica -> replica.executedBodies.size())
        .sum();
  }

  private void script(Behaviour... behaviours) {
    // All replicas follow one script, whichever is chosen.
    for (FakeServiceReplica replica : fleet.replicas.values()) {
      replica.behaviours.addAll(Arrays.asList(behaviours));
    }
  }

  private static BasilportException failureOf(CompletableFuture<?> result) {
    assertThat(result.isCompletedExceptionally()).isTrue();
    Throwable failure = result.handle((value, thrown) -> thrown).join();
    return BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.CLAIM);
  }

  private boolean violated() {
    return fleet.timelines.stream()
        .anyMatch(
            timeline ->
                !timeline.events(e -> e.type() == EventType.INVARIANT_VIOLATED, 1).isEmpty());
  }

  @Nested
  class SameKeyAgain {
    /** Guards against a move that runs twice because its caller was impatient. */
    @Test
    void whileTheFirstIsInFlightTheSecondIsRefusedAsNotRun() {
      CompletableFuture<CallResult> first = move(0);
      fleet.advanceMillis(15);
      CompletableFuture<CallResult> second = move(1);
      fleet.advanceMillis(1_000);

      assertThat(first.join().status()).isEqualTo(200);
      assertThat(failureOf(second).code()).isEqualTo(FailureCode.CONFLICT);
      assertThat(runs()).isEqualTo(1);
    }

    /** Guards against two claims that are recorded at the same moment. */
    @Test
    void atTheSameMomentOneRuns() {
      List<CompletableFuture<CallResult>> both = List.of(move(0), move(1));
      fleet.advanceMillis(5_000);

      assertThat(both.stream().filter(CompletableFuture::isCompletedExceptionally).count())
          .isEqualTo(1);
      assertThat(runs()).isEqualTo(1);
    }

    /** Guards against a finished move that runs again, and tells its caller the outcome. */
    @Test
    void afterTheAnswerTheRecordedStatusIsReturned() {
      move(0);
      fleet.advanceMillis(5_000);
      CompletableFuture<CallResult> second = move(1);
      fleet.advanceMillis(1_000);

      assertThat(second.join().duplicate()).isTrue();
      assertThat(second.join().status()).isEqualTo(200);
      assertThat(runs()).isEqualTo(1);
    }

    /** Guards against a resend after a lost answer that runs the move twice. */
    @Test
    void afterALostAnswerItIsNotSentAgain() {
      script(Behaviour.LOSE_RESPONSE);
      CompletableFuture<CallResult> first = move(0);
      fleet.advanceMillis(1_000);
      CompletableFuture<CallResult> second = move(1);
      fleet.advanceMillis(1_000);

      assertThat(failureOf(first).outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
      assertThat(failureOf(second).outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(runs()).isEqualTo(1);
    }
  }

  @Nested
  class PlatformFaults {
    /** Guards against sending without a claim while the platform is down. */
    @Test
    void inAnOutageNothingIsSentAndTheKeyStaysUsable() {
      fleet.store.unavailable = true;
      CompletableFuture<CallResult> first = move(0);
      fleet.advanceMillis(10_000);
      assertThat(failureOf(first).outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(runs()).isEqualTo(0);

      fleet.store.unavailable = false;
      fleet.advanceMillis(10_000);
      CompletableFuture<CallResult> second = move(1);
      fleet.advanceMillis(1_000);
      assertThat(second.join().status()).isEqualTo(200);
      assertThat(runs()).isEqualTo(1);
    }

    /** Guards against a claim that its own holder takes for another attempt's. */
    @Test
    void aClaimWhoseAnswerIsLostIsHeld() {
      fleet.store.lostResponses = 1;
      CompletableFuture<CallResult> first = move(0);
      fleet.advanceMillis(5_000);

      assertThat(first.join().status()).isEqualTo(200);
      assertThat(runs()).isEqualTo(1);
    }

    /** Guards against a request that was answered as not run and is sent by a later claim. */
    @Test
    void aClaimThatTakesEffectTooLateIsReleasedAndNeverSent() {
      fleet.store.writeDelay = Duration.ofSeconds(4);
      CompletableFuture<CallResult> first = move(0);
      fleet.advanceMillis(3_000);
      assertThat(failureOf(first).outcome()).isEqualTo(Outcome.NOT_RUN);

      fleet.store.writeDelay = Duration.ZERO;
      fleet.advanceMillis(20_000);
      assertThat(runs()).isEqualTo(0);
      CompletableFuture<CallResult> second = move(1);
      fleet.advanceMillis(1_000);
      assertThat(second.join().status()).isEqualTo(200);
    }

    /** Guards against writes that grow with the number of requests. */
    @Test
    void claimsThatWaitShareOneUpdate() {
      String prefix = key.substring(0, key.indexOf('-'));
      for (int i = 0; i < 200; i++) {
        call(0, prefix + "-key-number-" + i, false);
      }
      fleet.advanceMillis(1_500);

      // Half of the 50 concurrent requests of the workspace are the share of one of two instances.
      assertThat(runs()).isEqualTo(25);
      assertThat(fleet.store.writes).isAtMost(2 * RequestKey.SHARDS);
    }

    /** Guards against an assertion that does not see a move that ran twice. */
    @Test
    void aStoreThatIgnoresVersionsIsNoticed() {
      fleet.store.ignoresVersions = true;
      move(0);
      move(1);
      assertThrows(InvariantViolation.class, () -> fleet.advanceMillis(10_000));

      assertThat(runs()).isEqualTo(2);
      assertThat(violated()).isTrue();
    }
  }

  @Nested
  class BackendFaults {
    static Stream<Arguments> faults() {
      return Stream.of(
          Arguments.of(List.of(Behaviour.RESPOND), false, null, 1),
          Arguments.of(List.of(Behaviour.REFUSE_CONNECTION), false, null, 1),
          Arguments.of(List.of(Behaviour.LOSE_RESPONSE), false, Outcome.MAY_HAVE_RUN, 1),
          Arguments.of(List.of(Behaviour.MISMATCHED_RESPONSE), false, Outcome.MAY_HAVE_RUN, 1),
          Arguments.of(List.of(Behaviour.REFUSE_CONNECTION), true, null, 1),
          Arguments.of(List.of(Behaviour.LOSE_RESPONSE), true, null, 2),
          Arguments.of(List.of(Behaviour.MISMATCHED_RESPONSE), true, null, 2));
    }

    /** Guards against a wrong outcome, a second run, and an answer to another request. */
    @ParameterizedTest(name = "{0} repeatable {1}")
    @MethodSource("faults")
    void theOutcomeFollowsTheFault(
        List<Behaviour> faults, boolean repeatable, Outcome expected, int expectedRuns) {
      // Only the replica that is chosen first misbehaves.
      fleet.replicas.get("replica-0").behaviours.addAll(faults);
      CompletableFuture<CallResult> result = call(0, repeatable ? "" : key, repeatable);
      fleet.advanceMillis(10_000);

      assertThat(runs()).isEqualTo(expectedRuns);
      if (expected == null) {
        assertThat(result.join().body()).isEqualTo("done");
      } else {
        assertThat(failureOf(result).outcome()).isEqualTo(expected);
      }
    }

    /** Guards against a key that stays blocked although its request reached no replica. */
    @Test
    void whenNoReplicaCanBeReachedTheKeyMayBeUsedAgain() {
      Behaviour refuse = Behaviour.REFUSE_CONNECTION;
      script(refuse, refuse, refuse, refuse);
      CompletableFuture<CallResult> first = move(0);
      fleet.advanceMillis(10_000);
      assertThat(failureOf(first).outcome()).isEqualTo(Outcome.NOT_RUN);

      fleet.replicas.values().forEach(replica -> replica.behaviours.clear());
      CompletableFuture<CallResult> second = move(1);
      fleet.advanceMillis(1_000);
      assertThat(second.join().status()).isEqualTo(200);
    }
  }

  @Nested
  class Keys {
    /** Guards against keys whose claim may have been removed, and against unclear keys. */
    @ParameterizedTest
    @ValueSource(longs = {-3_601, 301})
    void aKeyOutsideItsWindowIsRefused(long ageSeconds) {
      String old = fleet.scheduler.now().getEpochSecond() + ageSeconds + "-0123456789";
      BasilportException failure = failureOf(call(0, old, false));

      FailureCode expected = ageSeconds < 0 ? FailureCode.EXPIRED : FailureCode.MALFORMED;
      assertThat(failure.code()).isEqualTo(expected);
      assertThat(failure.step()).isEqualTo(Step.CLAIM);
    }

    /** Guards against a call without protection because its key is missing. */
    @ParameterizedTest
    @ValueSource(strings = {"", "abc", "12-short", "x-0123456789"})
    void aMalformedKeyIsRefused(String text) {
      assertThat(failureOf(call(0, text, false)).code()).isEqualTo(FailureCode.MALFORMED);
    }

    /** Guards against a codec that loses claims or the closed mark. */
    @Test
    void anObjectSurvivesItsEncoding() {
      ClaimObject object = new ClaimObject();
      String hash = new RequestKey("w", key, 1).hash();
      Claim claim = new Claim("attempt", Claim.State.FINISHED, 503, -7);
      object.put(hash, claim);
      assertThat(ClaimObject.decode(object.encode()).find(hash)).hasValue(claim);
      object.close();
      assertThat(ClaimObject.decode(object.encode()).closed()).isTrue();
    }
  }
}
