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

  private CompletableFuture<CallResult> callWithKey(int router) {
    return call(router, key, false);
  }

  private int executions() {
    return fleet.replicas.values().stream()
        .mapToInt(replica -> replica.executedBodies.size())
        .sum();
  }

  private void scriptReplicas(Behaviour... behaviours) {
    // All replicas follow the same script, whichever is selected.
    for (FakeServiceReplica replica : fleet.replicas.values()) {
      replica.behaviours.addAll(Arrays.asList(behaviours));
    }
  }

  private static BasilportException failureOf(CompletableFuture<?> result) {
    assertThat(result.isCompletedExceptionally()).isTrue();
    Throwable failure = result.handle((value, thrown) -> thrown).join();
    return BasilportException.unwrap(failure, Outcome.NOT_RUN, Step.CLAIM);
  }

  private boolean invariantViolated() {
    return fleet.timelines.stream()
        .anyMatch(
            timeline ->
                !timeline.events(e -> e.type() == EventType.INVARIANT_VIOLATED, 1).isEmpty());
  }

  @Nested
  class DuplicateKeys {
    /** Guards against a call that runs twice because its caller retries while it is in flight. */
    @Test
    void secondCallIsRejectedAsNotRunWhileTheFirstIsInFlight() {
      CompletableFuture<CallResult> first = callWithKey(0);
      fleet.advanceMillis(15);
      CompletableFuture<CallResult> second = callWithKey(1);
      fleet.advanceMillis(1_000);

      assertThat(first.join().status()).isEqualTo(200);
      assertThat(failureOf(second).code()).isEqualTo(FailureCode.CONFLICT);
      assertThat(executions()).isEqualTo(1);
    }

    /** Guards against two concurrent claims that are both recorded. */
    @Test
    void onlyOneOfTwoConcurrentCallsRuns() {
      List<CompletableFuture<CallResult>> both = List.of(callWithKey(0), callWithKey(1));
      fleet.advanceMillis(5_000);

      assertThat(both.stream().filter(CompletableFuture::isCompletedExceptionally).count())
          .isEqualTo(1);
      assertThat(executions()).isEqualTo(1);
    }

    /** Guards against a finished call that runs again instead of returning the recorded status. */
    @Test
    void returnsTheRecordedStatusAfterTheResponse() {
      callWithKey(0);
      fleet.advanceMillis(5_000);
      CompletableFuture<CallResult> second = callWithKey(1);
      fleet.advanceMillis(1_000);

      assertThat(second.join().duplicate()).isTrue();
      assertThat(second.join().status()).isEqualTo(200);
      assertThat(executions()).isEqualTo(1);
    }

    /** Guards against a retry after a lost response that runs the call twice. */
    @Test
    void doesNotSendAgainAfterLostResponse() {
      scriptReplicas(Behaviour.LOSE_RESPONSE);
      CompletableFuture<CallResult> first = callWithKey(0);
      fleet.advanceMillis(1_000);
      CompletableFuture<CallResult> second = callWithKey(1);
      fleet.advanceMillis(1_000);

      assertThat(failureOf(first).outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
      assertThat(failureOf(second).outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(executions()).isEqualTo(1);
    }
  }

  @Nested
  class PlatformFaults {
    /** Guards against sending without a claim during a platform outage. */
    @Test
    void sendsNothingInAnOutageAndTheKeyStaysUsable() {
      fleet.store.unavailable = true;
      CompletableFuture<CallResult> first = callWithKey(0);
      fleet.advanceMillis(10_000);
      assertThat(failureOf(first).outcome()).isEqualTo(Outcome.NOT_RUN);
      assertThat(executions()).isEqualTo(0);

      fleet.store.unavailable = false;
      fleet.advanceMillis(10_000);
      CompletableFuture<CallResult> second = callWithKey(1);
      fleet.advanceMillis(1_000);
      assertThat(second.join().status()).isEqualTo(200);
      assertThat(executions()).isEqualTo(1);
    }

    /** Guards against a holder that mistakes its own claim for another attempt's. */
    @Test
    void claimWithLostResponseIsHeld() {
      fleet.store.lostResponses = 1;
      CompletableFuture<CallResult> first = callWithKey(0);
      fleet.advanceMillis(5_000);

      assertThat(first.join().status()).isEqualTo(200);
      assertThat(executions()).isEqualTo(1);
    }

    /** Guards against sending a request after its caller received the outcome NOT_RUN. */
    @Test
    void lateClaimIsReleasedAndNeverSent() {
      fleet.store.writeDelay = Duration.ofSeconds(4);
      CompletableFuture<CallResult> first = callWithKey(0);
      fleet.advanceMillis(3_000);
      assertThat(failureOf(first).outcome()).isEqualTo(Outcome.NOT_RUN);

      fleet.store.writeDelay = Duration.ZERO;
      fleet.advanceMillis(20_000);
      assertThat(executions()).isEqualTo(0);
      CompletableFuture<CallResult> second = callWithKey(1);
      fleet.advanceMillis(1_000);
      assertThat(second.join().status()).isEqualTo(200);
    }

    /** Guards against a number of writes that grows with the number of requests. */
    @Test
    void waitingClaimsShareOneWrite() {
      String prefix = key.substring(0, key.indexOf('-'));
      for (int i = 0; i < 200; i++) {
        call(0, prefix + "-key-number-" + i, false);
      }
      fleet.advanceMillis(1_500);

      // Each of the two instances gets half of the workspace's limit of 50 concurrent requests.
      assertThat(executions()).isEqualTo(25);
      assertThat(fleet.store.writes).isAtMost(2 * RequestKey.SHARDS);
    }

    /** Guards against an invariant check that misses a call that ran twice. */
    @Test
    void detectsStoreThatIgnoresVersions() {
      fleet.store.ignoresVersions = true;
      callWithKey(0);
      callWithKey(1);
      assertThrows(InvariantViolation.class, () -> fleet.advanceMillis(10_000));

      assertThat(executions()).isEqualTo(2);
      assertThat(invariantViolated()).isTrue();
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

    /** Guards against a wrong outcome, a second run, and the response to another request. */
    @ParameterizedTest(name = "{0} repeatable {1}")
    @MethodSource("faults")
    void reportsTheOutcomeOfTheFault(
        List<Behaviour> faults, boolean repeatable, Outcome expected, int expectedRuns) {
      // Only the replica that is selected first fails.
      fleet.replicas.get("replica-0").behaviours.addAll(faults);
      CompletableFuture<CallResult> result = call(0, repeatable ? "" : key, repeatable);
      fleet.advanceMillis(10_000);

      assertThat(executions()).isEqualTo(expectedRuns);
      if (expected == null) {
        assertThat(result.join().body()).isEqualTo("done");
      } else {
        assertThat(failureOf(result).outcome()).isEqualTo(expected);
      }
    }

    /** Guards against a key that stays claimed although its request reached no replica. */
    @Test
    void keyIsReusableWhenNoReplicaWasReached() {
      Behaviour refuse = Behaviour.REFUSE_CONNECTION;
      scriptReplicas(refuse, refuse, refuse, refuse);
      CompletableFuture<CallResult> first = callWithKey(0);
      fleet.advanceMillis(10_000);
      assertThat(failureOf(first).outcome()).isEqualTo(Outcome.NOT_RUN);

      fleet.replicas.values().forEach(replica -> replica.behaviours.clear());
      CompletableFuture<CallResult> second = callWithKey(1);
      fleet.advanceMillis(1_000);
      assertThat(second.join().status()).isEqualTo(200);
    }
  }

  @Nested
  class Keys {
    /** Guards against keys whose claim may have been removed, and keys from the future. */
    @ParameterizedTest
    @ValueSource(longs = {-3_601, 301})
    void rejectsKeyOutsideItsValidity(long ageSeconds) {
      String old = fleet.scheduler.now().getEpochSecond() + ageSeconds + "-0123456789";
      BasilportException failure = failureOf(call(0, old, false));

      FailureCode expected = ageSeconds < 0 ? FailureCode.EXPIRED : FailureCode.MALFORMED;
      assertThat(failure.code()).isEqualTo(expected);
      assertThat(failure.step()).isEqualTo(Step.CLAIM);
    }

    /** Guards against an unprotected call whose key is missing or malformed. */
    @ParameterizedTest
    @ValueSource(strings = {"", "abc", "12-short", "x-0123456789"})
    void rejectsMalformedKey(String text) {
      assertThat(failureOf(call(0, text, false)).code()).isEqualTo(FailureCode.MALFORMED);
    }

    /** Guards against an encoding that loses claims or the closed flag. */
    @Test
    void claimObjectRoundTrips() {
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
