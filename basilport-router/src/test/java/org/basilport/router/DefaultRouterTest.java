package org.basilport.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.basilport.delivery.GenerationRequest;
import org.basilport.error.FailureCode;
import org.basilport.error.LeavingException;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.fake.FakeFleet;
import org.basilport.fake.RecordingListener;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class DefaultRouterTest {
  private final FakeFleet fleet = new FakeFleet(2, 2);

  private RecordingListener send(int router, Credentials credentials, GenerationRequest request) {
    RecordingListener caller = new RecordingListener();
    fleet.routers.get(router).generate(credentials, request, caller).request(100_000);
    return caller;
  }

  private RecordingListener send(int router, int length) {
    return send(router, FakeFleet.CALLER, new GenerationRequest("chat", "prompt", length));
  }

  @Nested
  class Admission {
    static Stream<Arguments> rejections() {
      GenerationRequest validRequest = new GenerationRequest("chat", "prompt", 10);
      String oversizedPrompt = "x".repeat(AdmissionController.MAX_BODY_BYTES + 1);
      return Stream.of(
          Arguments.of(new Credentials("w", "wrong"), validRequest, FailureCode.UNAUTHENTICATED),
          Arguments.of(new Credentials("nobody", "x"), validRequest, FailureCode.UNKNOWN_WORKSPACE),
          Arguments.of(
              FakeFleet.CALLER,
              new GenerationRequest("none", "prompt", 10),
              FailureCode.UNKNOWN_ROUTE),
          Arguments.of(
              FakeFleet.CALLER, new GenerationRequest("move", "prompt", 10), FailureCode.MALFORMED),
          Arguments.of(
              FakeFleet.CALLER, new GenerationRequest("chat", "", 10), FailureCode.MALFORMED),
          Arguments.of(
              FakeFleet.CALLER, new GenerationRequest("chat", "prompt", 0), FailureCode.MALFORMED),
          Arguments.of(
              FakeFleet.CALLER,
              new GenerationRequest("chat", "prompt", 100_001),
              FailureCode.TOO_LARGE),
          Arguments.of(
              FakeFleet.CALLER,
              new GenerationRequest("chat", oversizedPrompt, 10),
              FailureCode.TOO_LARGE));
    }

    /** Guards against admitting invalid requests and against rejections with a wrong code. */
    @ParameterizedTest
    @MethodSource("rejections")
    void rejectsInvalidRequests(Credentials caller, GenerationRequest request, FailureCode code) {
      RecordingListener rejected = send(0, caller, request);
      fleet.advanceMillis(100);

      assertThat(rejected.failure.code()).isEqualTo(code);
      assertThat(rejected.failure.outcome()).isEqualTo(Outcome.NOT_RUN);
      boolean unknownCaller = code.httpStatus() == 401;
      Step expected = unknownCaller ? Step.AUTHENTICATE : Step.ADMIT;
      assertThat(rejected.failure.step()).isEqualTo(expected);
    }

    /**
     * Guards against a workspace that exceeds its limit and against slots that are not released.
     */
    @Test
    void limitsConcurrencyUntilRequestEnds() {
      Credentials small = new Credentials("small", "secret");
      GenerationRequest request = new GenerationRequest("chat", "prompt", 10);
      RecordingListener first = send(0, small, request);
      RecordingListener second = send(0, small, request);
      fleet.advanceMillis(1_000);
      RecordingListener third = send(0, small, request);
      fleet.advanceMillis(1_000);

      assertThat(first.ended).isTrue();
      assertThat(second.failure.code()).isEqualTo(FailureCode.OVER_LIMIT);
      assertThat(second.failure.retryAfter().isPresent()).isTrue();
      assertThat(third.ended).isTrue();
    }
  }

  @Nested
  class Drain {
    /** Guards against a drain that breaks running streams or accepts new requests. */
    @Test
    void liveStreamsFinishOrAreHandedOver() {
      RecordingListener shortStream = send(0, 200);
      RecordingListener longStream = send(0, 5_000);
      fleet.advanceMillis(500);
      CompletableFuture<Void> drained = fleet.routers.get(0).drain("test");
      RecordingListener lateRequest = send(0, 10);
      fleet.advanceMillis(10);
      assertThat(lateRequest.failure.code()).isEqualTo(FailureCode.LEAVING);
      assertThat(((LeavingException) lateRequest.failure).addresses()).containsExactly("i1");
      assertThat(fleet.routers.get(0).readiness()).isEqualTo(Readiness.DRAINING);

      fleet.advanceMillis(20_000);
      assertThat(shortStream.ended).isTrue();
      assertThat(drained.isDone()).isFalse();
      fleet.advanceMillis(6_000);
      assertThat(drained.isDone()).isTrue();
      assertThat(longStream.handoverAddresses).containsExactly("i1");

      RecordingListener resumed = new RecordingListener();
      fleet
          .routers
          .get(1)
          .resume(FakeFleet.CALLER, longStream.resumeToken, resumed)
          .request(100_000);
      fleet.advanceMillis(60_000);
      assertThat(resumed.ended).isTrue();
      assertThat(longStream.tokens.size() + resumed.tokens.size()).isEqualTo(5_000);
      assertThat(fleet.engines.values().stream().mapToInt(e -> e.started.size()).sum())
          .isEqualTo(2);
    }

    /** Guards against a queued request that never receives a response. */
    @Test
    void rejectsQueuedRequests() {
      fleet.engines.values().forEach(engine -> engine.refusesConnections = true);
      RecordingListener queued = send(0, 10);
      fleet.advanceMillis(30);
      fleet.routers.get(0).drain("test");
      fleet.advanceMillis(100);

      assertThat(queued.failure.code()).isEqualTo(FailureCode.LEAVING);
      assertThat(queued.failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against a drain that completes while a call is in progress. */
    @Test
    void waitsForCalls() {
      CompletableFuture<CallResult> call =
          fleet
              .routers
              .get(0)
              .call(FakeFleet.CALLER, new CallRequest("move", "/", "", true, "body"));
      CompletableFuture<Void> drained = fleet.routers.get(0).drain("test");
      fleet.advanceMillis(10);
      assertThat(drained.isDone()).isFalse();
      fleet.advanceMillis(200);

      assertThat(call.join().status()).isEqualTo(200);
      assertThat(drained.isDone()).isTrue();
    }
  }
}
