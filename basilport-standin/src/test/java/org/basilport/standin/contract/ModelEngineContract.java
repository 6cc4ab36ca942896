package org.basilport.standin.contract;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.RunningGeneration;
import org.basilport.engine.TokenStream;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.standin.engine.EngineSettings;
import org.basilport.standin.engine.GenerationText;
import org.basilport.standin.engine.SimulatedEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Contract tests for implementations of {@link ModelEngine}. */
abstract class ModelEngineContract {
  static final int UNLIMITED_FRAMES = 1_000_000;

  final TestClock clock = clock();
  final SimulatedEngine simulatedEngine =
      new SimulatedEngine(
          "e1",
          EngineSettings.defaults().withReportLag(Duration.ZERO),
          clock.scheduler(),
          new SplittableRandom(1));
  private final RecordingListener listener = new RecordingListener();
  private ModelEngine engine;

  abstract TestClock clock();

  abstract ModelEngine engine();

  abstract void refuseConnections();

  void open() {}

  @BeforeEach
  void start() {
    open();
    engine = engine();
  }

  @AfterEach
  void stop() {
    clock.close();
  }

  static EngineRequest request(String id, int length, int maxTokens) {
    return new EngineRequest(id, "ws", "length=" + length + " describe", maxTokens, 0);
  }

  private TokenStream generate(String id, int length, RecordingListener to) {
    TokenStream stream = engine.generate(request(id, length, 1_000), to);
    stream.request(UNLIMITED_FRAMES);
    return stream;
  }

  /** Guards against lost, repeated or mixed-up tokens and a wrong end of stream. */
  @ParameterizedTest
  @CsvSource({"5, 100, 5, STOP", "40, 7, 7, LENGTH", "1, 1, 1, STOP"})
  void streamHasAllTokensInOrder(
      int length, int maxTokens, int total, GenerationEnd.Reason reason) {
    engine.generate(request("g-1", length, maxTokens), listener).request(UNLIMITED_FRAMES);

    assertThat(clock.await(listener.end)).isEqualTo(new GenerationEnd("g-1", total, reason));
    assertThat(listener.text()).isEqualTo(GenerationText.text("g-1", total));
    assertThat(simulatedEngine.history().starts("g-1")).isEqualTo(1);
  }

  /** Guards against a reader that receives more frames than it requested. */
  @Test
  void framesAreLimitedByDemand() {
    TokenStream stream = engine.generate(request("g-1", 10, 100), listener);
    stream.request(2);
    clock.awaitUntil(() -> listener.frames().size() == 2);
    clock.advance(Duration.ofMillis(300));
    assertThat(listener.frames()).hasSize(2);

    stream.request(UNLIMITED_FRAMES);

    clock.await(listener.end);
    assertThat(listener.text()).isEqualTo(GenerationText.text("g-1", 10));
  }

  /** Guards against losing a generation when its reader closes, and resuming at a wrong offset. */
  @Test
  void closedStreamResumesFromItsOffset() {
    TokenStream stream = generate("g-1", 30, listener);
    clock.awaitUntil(() -> listener.tokens() >= 3);
    stream.close();
    long read = listener.tokens();
    clock.awaitUntil(() -> running("g-1").unattachedMillis() > 0);
    RecordingListener resumed = new RecordingListener();

    engine.resume("g-1", read, resumed).request(UNLIMITED_FRAMES);

    assertThat(clock.await(resumed.end).totalTokens()).isEqualTo(30);
    assertThat(listener.text().concat(resumed.text())).isEqualTo(GenerationText.text("g-1", 30));
    assertThat(listener.end.isDone()).isFalse();
  }

  /** Guards against losing the output of a generation once it has ended. */
  @Test
  void endedGenerationIsRetained() {
    generate("g-1", 4, listener);
    clock.await(listener.end);

    RecordingListener again = new RecordingListener();
    engine.resume("g-1", 1, again).request(UNLIMITED_FRAMES);

    assertThat(clock.await(again.end).totalTokens()).isEqualTo(4);
    assertThat(again.tokens()).isEqualTo(3);
  }

  /** Guards against a generation reported as attached after its reader closed immediately. */
  @Test
  void immediatelyClosedStreamLeavesNoReader() {
    generate("g-1", 500, listener).close();

    clock.awaitUntil(() -> simulatedEngine.history().starts("g-1") == 1);
    clock.awaitUntil(() -> running("g-1").unattachedMillis() > 0);
    clock.advance(Duration.ofMillis(100));
    assertThat(running("g-1").unattachedMillis()).isAtLeast(100);
    assertThat(listener.frames()).isEmpty();
  }

  /** Guards against two readers of one generation, and against resuming an unknown generation. */
  @Test
  void newReaderReplacesThePreviousOne() {
    generate("g-1", 200, listener);
    clock.awaitUntil(() -> listener.tokens() > 0);
    RecordingListener second = new RecordingListener();
    engine.resume("g-1", 0, second).request(UNLIMITED_FRAMES);

    assertThat(clock.awaitFailure(listener.end).outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    clock.awaitUntil(() -> second.tokens() > 0);
    RecordingListener unknown = new RecordingListener();
    engine.resume("g-2", 0, unknown);
    assertThat(clock.awaitFailure(unknown.end).code()).isEqualTo(FailureCode.NOT_FOUND);
  }

  /** Guards against a conditional cancellation that stops a generation with an attached reader. */
  @Test
  void cancelRespectsAnAttachedReader() {
    generate("g-1", 500, listener);
    clock.awaitUntil(() -> listener.tokens() > 0);

    assertThat(clock.await(engine.cancel("g-1", true))).isFalse();
    assertThat(clock.await(engine.cancel("g-1", false))).isTrue();

    assertThat(clock.await(listener.end).reason()).isEqualTo(GenerationEnd.Reason.CANCELLED);
    assertThat(clock.await(engine.cancel("g-1", false))).isFalse();
  }

  enum Fault {
    REFUSED(Outcome.NOT_RUN),
    REQUEST_LOST(Outcome.MAY_HAVE_RUN),
    READER_CUT(Outcome.MAY_HAVE_RUN),
    CRASH(Outcome.MAY_HAVE_RUN),
    CRASHING_PROMPT(Outcome.MAY_HAVE_RUN);

    private final Outcome outcome;

    Fault(Outcome outcome) {
      this.outcome = outcome;
    }
  }

  /** Guards against NOT_RUN for a request that may have run, and MAY_HAVE_RUN for a refused one. */
  @ParameterizedTest
  @EnumSource(Fault.class)
  void faultsReportTheirOutcome(Fault fault) {
    if (fault == Fault.REFUSED) {
      refuseConnections();
    } else if (fault == Fault.REQUEST_LOST) {
      simulatedEngine.faults().loseRequests(1);
    } else if (fault == Fault.CRASHING_PROMPT) {
      simulatedEngine.faults().crashMarker("describe");
    }
    generate("g-1", 500, listener);
    if (fault == Fault.READER_CUT || fault == Fault.CRASH) {
      clock.awaitUntil(() -> listener.tokens() > 0);
      Runnable injection =
          fault == Fault.CRASH
              ? simulatedEngine::crash
              : () -> simulatedEngine.disconnectReader("g-1");
      injection.run();
    }

    BasilportException failure = clock.awaitFailure(listener.end);

    assertThat(failure.outcome()).isEqualTo(fault.outcome);
    assertThat(failure.code()).isEqualTo(FailureCode.BACKEND_LOST);
  }

  /** Guards against generations that survive a restart, and an unchanged incarnation number. */
  @Test
  void restartLosesGenerations() {
    generate("g-1", 500, listener);
    clock.awaitUntil(() -> listener.tokens() > 0);
    simulatedEngine.restart();
    awaitReachable();

    EngineReport report = clock.await(engine.report());

    assertThat(report.incarnation()).isEqualTo(2);
    assertThat(report.running()).isEmpty();
    assertThat(clock.await(engine.cancel("g-1", false))).isFalse();
  }

  /** Guards against accepting an order from a former lease holder. */
  @Test
  void ordersWithAStaleFencingTokenAreRejected() {
    clock.await(engine.order(new EngineOrder(7, "decode", List.of("base"))));

    CompletableFuture<Void> staleOrder =
        engine.order(new EngineOrder(6, "decode", List.of("other")));

    assertThat(clock.awaitFailure(staleOrder).code()).isEqualTo(FailureCode.CONFLICT);
    assertThat(simulatedEngine.history().orders()).hasSize(1);
  }

  /** Guards against reports without memory use, the leaving mark or attached readers. */
  @Test
  void reportShowsLoadAndLeaving() {
    generate("g-1", 500, listener);
    clock.awaitUntil(() -> listener.tokens() > 0);
    simulatedEngine.markLeaving();

    EngineReport report = clock.await(engine.report());

    assertThat(report.leaving()).isTrue();
    assertThat(report.usedTokens()).isGreaterThan(0);
    assertThat(report.running().get(0).workspace()).isEqualTo("ws");
    assertThat(report.running().get(0).unattachedMillis()).isEqualTo(0);
  }

  /** Waits until the restarted engine responds; its HTTP server starts listening asynchronously. */
  private void awaitReachable() {
    clock.awaitUntil(
        () -> {
          CompletableFuture<EngineReport> report = engine.report();
          clock.awaitUntil(report::isDone);
          return !report.isCompletedExceptionally() && report.join().incarnation() == 2;
        });
  }

  private RunningGeneration running(String id) {
    return simulatedEngine.currentReport().running().stream()
        .filter(generation -> generation.generationId().equals(id))
        .findFirst()
        .orElseThrow();
  }
}
