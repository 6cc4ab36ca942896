package org.basilport.delivery;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.TokenFrame;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.RejectedException;
import org.basilport.event.EventType;
import org.basilport.event.InvariantViolation;
import org.basilport.fake.FakeEngine;
import org.basilport.fake.FakeFleet;
import org.basilport.fake.RecordingListener;
import org.basilport.router.Credentials;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class GenerationDeliveryTest {
  private static final int LENGTH = 30;

  private final FakeFleet fleet = new FakeFleet(2, 3);
  private final RecordingListener listener = new RecordingListener();

  private GenerationHandle generate(int length) {
    return fleet
        .routers
        .get(0)
        .generate(FakeFleet.CALLER, new GenerationRequest("chat", "prompt", length), listener);
  }

  private FakeEngine busyEngine() {
    return fleet.engines.values().stream()
        .filter(engine -> !engine.started.isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private static void assertCompleteGeneration(List<String> tokens, int length) {
    String generation = tokens.get(0).substring(0, tokens.get(0).indexOf(':'));
    List<String> expected = IntStream.range(0, length).mapToObj(i -> generation + ":" + i).toList();
    assertThat(tokens).containsExactlyElementsIn(expected).inOrder();
  }

  @Nested
  class FrameFaults {
    private static TokenFrame frame(String id, long offset) {
      return new TokenFrame(id, offset, List.of(id + ":" + offset));
    }

    private static Function<TokenFrame, List<TokenFrame>> once(
        long offset, Function<TokenFrame, List<TokenFrame>> fault) {
      Set<Long> done = new HashSet<>();
      return sent ->
          sent.offset() == offset && done.add(offset) ? fault.apply(sent) : List.of(sent);
    }

    static Stream<Arguments> faults() {
      return Stream.of(
          Arguments.of("duplicated", once(4, f -> List.of(f, f))),
          Arguments.of("late", once(9, f -> List.of(f, frame(f.generationId(), 2)))),
          Arguments.of("crossed", once(5, f -> List.of(frame("other-1", f.offset()), f))),
          Arguments.of("gap", once(7, f -> List.of())),
          Arguments.of("gap at the end", once(LENGTH - 1, f -> List.of())),
          Arguments.of("gap at the start", once(0, f -> List.of())),
          Arguments.of("swapped", once(3, f -> List.of(frame(f.generationId(), 4), f))));
    }

    /** Guards against tokens that are lost, duplicated, reordered or from another request. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void deliversEachTokenOnce(String name, Function<TokenFrame, List<TokenFrame>> fault) {
      fleet.engines.values().forEach(engine -> engine.frameFault = fault);

      generate(LENGTH).request(1_000);
      fleet.advanceMillis(10_000);

      assertCompleteGeneration(listener.tokens, LENGTH);
      assertThat(listener.ended).isTrue();
    }
  }

  @Nested
  class EngineFaults {
    /** Guards against a retry that mixes two generations, and against a lost request. */
    @Test
    void retriesOnAnotherEngineBeforeTheFirstToken() {
      generate(LENGTH).request(1_000);
      fleet.advanceMillis(5);
      busyEngine().crash();
      fleet.advanceMillis(20_000);

      assertCompleteGeneration(listener.tokens, LENGTH);
      assertThat(listener.tokens.get(0)).contains("-2:");
    }

    /** Guards against a second generation in a stream whose first token was delivered. */
    @Test
    void reportsLossAfterTheFirstToken() {
      generate(LENGTH).request(1_000);
      fleet.advanceMillis(100);
      int before = listener.tokens.size();
      busyEngine().crash();
      fleet.advanceMillis(20_000);

      assertThat(before).isGreaterThan(0);
      assertThat(listener.tokens).hasSize(before);
      assertThat(listener.failure.outcome()).isEqualTo(Outcome.LOST_PART_WAY);
      assertThat(listener.failure.code()).isEqualTo(FailureCode.BACKEND_LOST);
    }

    /** Guards against lost or duplicated tokens when only the connection breaks. */
    @Test
    void resumesAfterBrokenConnection() {
      generate(LENGTH).request(1_000);
      fleet.advanceMillis(100);
      busyEngine().breakConnections();
      fleet.advanceMillis(5_000);

      assertCompleteGeneration(listener.tokens, LENGTH);
      assertThat(busyEngine().started).hasSize(1);
    }

    /** Guards against a stream that hangs because its connection lost frames without an error. */
    @Test
    void reconnectsAfterSilentStall() {
      generate(LENGTH).request(1_000);
      fleet.advanceMillis(100);
      busyEngine().frameFault = frame -> List.of();
      fleet.advanceMillis(1_000);
      busyEngine().frameFault = List::of;
      fleet.advanceMillis(15_000);

      assertCompleteGeneration(listener.tokens, LENGTH);
    }

    /** Guards against the outcome MAY_HAVE_RUN for a request that was never sent. */
    @Test
    void refusedConnectionsAreReportedAsNotRun() {
      fleet.engines.values().forEach(engine -> engine.refusesConnections = true);
      generate(LENGTH).request(1_000);
      fleet.advanceMillis(60_000);

      assertThat(listener.failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    }
  }

  @Nested
  class Resuming {
    private final RecordingListener resumedListener = new RecordingListener();

    /** Guards against resumption that depends on state of the first instance. */
    @Test
    void anotherInstanceResumesFromTheTokenAlone() {
      GenerationHandle first = generate(LENGTH);
      first.request(10);
      fleet.advanceMillis(200);
      first.detach();
      fleet
          .routers
          .get(1)
          .resume(FakeFleet.CALLER, listener.resumeToken, resumedListener)
          .request(1_000);
      fleet.advanceMillis(60_000);

      listener.tokens.addAll(resumedListener.tokens);
      assertThat(resumedListener.ended).isTrue();
      assertCompleteGeneration(listener.tokens, LENGTH);
      assertThat(busyEngine().cancelled).isEmpty();
    }

    static Stream<Arguments> badTokens() {
      Function<String, String> flipped =
          token -> (token.charAt(0) == 'A' ? "B" : "A") + token.substring(1);
      return Stream.of(
          Arguments.of("forged", flipped, FakeFleet.CALLER, FailureCode.FORBIDDEN),
          Arguments.of(
              "foreign", Function.identity(), FakeFleet.OTHER_CALLER, FailureCode.FORBIDDEN),
          Arguments.of(
              "short",
              (Function<String, String>) t -> "AAAA",
              FakeFleet.CALLER,
              FailureCode.MALFORMED));
    }

    /** Guards against reading the generation of another workspace. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("badTokens")
    void rejectsInvalidToken(
        String name, Function<String, String> change, Credentials reader, FailureCode code) {
      generate(LENGTH).request(1_000);
      fleet.advanceMillis(100);
      String token = change.apply(listener.resumeToken);

      fleet.routers.get(1).resume(reader, token, resumedListener).request(1_000);
      fleet.advanceMillis(100);

      assertThat(resumedListener.tokens).isEmpty();
      assertThat(resumedListener.failure.code()).isEqualTo(code);
      assertThat(resumedListener.failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    /** Guards against a token without an expiry. */
    @Test
    void rejectsExpiredToken() {
      generate(LENGTH).request(1_000);
      fleet.advanceMillis(2 * 3_600_000);

      fleet.routers.get(1).resume(FakeFleet.CALLER, listener.resumeToken, resumedListener);
      fleet.advanceMillis(10);

      assertThat(resumedListener.failure.code()).isEqualTo(FailureCode.EXPIRED);
    }
  }

  @Nested
  class Abandonment {
    /** Guards against engines that keep generating for callers that disconnected. */
    @Test
    void startingInstanceCancelsAfterTheResumeWindow() {
      GenerationHandle handle = generate(50_000);
      handle.request(5);
      fleet.advanceMillis(200);
      handle.detach();
      fleet.advanceMillis(29_000);
      assertThat(busyEngine().cancelled).isEmpty();
      fleet.advanceMillis(2_000);

      assertThat(busyEngine().cancelled).hasSize(1);
    }

    /** Guards against cancelling a generation that another instance has resumed. */
    @Test
    void doesNotCancelGenerationResumedElsewhere() {
      GenerationHandle handle = generate(5_000);
      handle.request(5);
      fleet.advanceMillis(200);
      handle.detach();
      RecordingListener resumedListener = new RecordingListener();
      fleet
          .routers
          .get(1)
          .resume(FakeFleet.CALLER, listener.resumeToken, resumedListener)
          .request(10_000);
      fleet.advanceMillis(60_000);

      assertThat(busyEngine().cancelled).isEmpty();
      assertThat(resumedListener.ended).isTrue();
    }

    /** Guards against generations that are never cancelled because their instance died. */
    @Test
    void engineOwnerCancelsReportedUnreadGenerations() {
      FakeEngine engine = fleet.engines.get("engine-0");
      String owner = fleet.controlPlanes.get(0).owner("engine-0").orElseThrow().id();
      int ownerIndex = owner.equals("i0") ? 0 : 1;
      EngineRequest request = new EngineRequest("gone-1", "w", "prompt", 50_000, 1);
      engine.generate(request, new EngineConnection(fleet.scheduler, null, false)).close();

      fleet.advanceMillis(29_000);
      fleet.controlPlanes.get(ownerIndex).reportEngines();
      assertThat(engine.cancelled).isEmpty();
      fleet.advanceMillis(2_000);
      fleet.controlPlanes.get(1 - ownerIndex).reportEngines();
      assertThat(engine.cancelled).isEmpty();
      fleet.controlPlanes.get(ownerIndex).reportEngines();
      assertThat(engine.cancelled).containsExactly("gone-1");
    }
  }

  @Nested
  class Backpressure {
    /** Guards against unbounded buffering for a slow caller. */
    @Test
    void requestsAtMostOneBufferOfFrames() {
      GenerationHandle handle = generate(1_000);
      handle.request(3);
      fleet.advanceMillis(5_000);
      assertThat(listener.tokens).hasSize(3);
      assertThat(busyEngine().maxOutstandingCredit).isAtMost(FrameBuffer.CAPACITY);
      assertThat(fleet.metrics.getCounters()).doesNotContainKey("generation.framesDropped.w");

      handle.request(2_000);
      fleet.advanceMillis(20_000);
      assertCompleteGeneration(listener.tokens, 1_000);
    }
  }

  @Nested
  class InvariantChecks {
    private final FrameBuffer buffer = new FrameBuffer(fleet.timelines.get(0), "a-1", 0);

    /** Guards against an invariant check that misses two generations in one stream. */
    @Test
    void detectsSecondGenerationAfterTheFirstToken() {
      buffer.offer(new TokenFrame("a-1", 0, List.of("x")));
      buffer.take();
      buffer.restart("a-2");
      buffer.offer(new TokenFrame("a-2", 1, List.of("y")));

      assertThrows(InvariantViolation.class, buffer::take);
      assertThat(fleet.timelines.get(0).events(e -> true, 1).get(0).type())
          .isEqualTo(EventType.INVARIANT_VIOLATED);
    }

    /** Guards against an invariant check that misses a skipped token. */
    @Test
    void detectsSkippedToken() {
      List<String> tokens = new ArrayList<>(List.of("x", "y"));
      buffer.offer(new TokenFrame("a-1", 0, tokens));
      tokens.remove("y");
      buffer.take();
      buffer.offer(new TokenFrame("a-1", 2, List.of("z")));

      assertThrows(InvariantViolation.class, buffer::take);
    }

    /** Guards against a token that decodes differently or is accepted under another key. */
    @Test
    void rejectsTokenSignedWithAnotherKey() {
      ResumeTokenCodec codec = new ResumeTokenCodec("key");
      ResumeToken token = new ResumeToken("w", "s", "e", 1, "g-1", 5, "f", Long.MAX_VALUE);
      String text = codec.encode(token);
      assertThat(codec.decode(text, "w", fleet.scheduler.now())).isEqualTo(token);
      String other = new ResumeTokenCodec("key2").encode(token);
      assertThrows(RejectedException.class, () -> codec.decode(other, "w", fleet.scheduler.now()));
    }
  }
}
