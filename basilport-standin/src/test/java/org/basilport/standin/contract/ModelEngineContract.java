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

/** What every implementation of {@link ModelEngine} has to do. */
abstract class ModelEngineContract {
  static final int ALL = 1_000_000;

  final Timing timing = timing();
  final SimulatedEngine simulated =
      new SimulatedEngine(
          "e1",
          EngineSettings.defaults().withReportLag(Duration.ZERO),
          timing.scheduler(),
          new SplittableRandom(1));
  private final RecordingListener listener = new RecordingListener();
  private ModelEngine engine;

  abstract Timing timing();

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
    timing.close();
  }

  static EngineRequest request(String id, int length, int maxTokens) {
    return new EngineRequest(id, "ws", "length=" + length + " describe", maxTokens, 0);
  }

  private TokenStream generate(String id, int length, RecordingListener to) {
    TokenStream stream = engine.generate(request(id, length, 1_000), to);
    stream.request(ALL);
    return stream;
  }

  /** Guards against lost, repeated or foreign tokens and a wrong end. */
  @ParameterizedTest
  @CsvSource({"5, 100, 5, STOP", "40, 7, 7, LENGTH", "1, 1, 1, STOP"})
  void streamHasAllTokensInOrder(
      int length, int maxTokens, int total, GenerationEnd.Reason reason) {
    engine.generate(request("g-1", length, maxTokens), listener).request(ALL);

    assertThat(timing.await(listener.end)).isEqualTo(new GenerationEnd("g-1", total, reason));
    assertThat(listener.text()).isEqualTo(GenerationText.text("g-1", total));
    assertThat(simulated.history().starts("g-1")).isEqualTo(1);
  }

  /** Guards against a reader that gets more frames than it asked for. */
  @Test
  void framesWaitForRequests() {
    TokenStream stream = engine.generate(request("g-1", 10, 100), listener);
    stream.request(2);
    timing.until(() -> listener.frames().size() == 2);
    timing.pass(Duration.ofMillis(300));
    assertThat(listener.frames()).hasSize(2);

    stream.request(ALL);

    timing.await(listener.end);
    assertThat(listener.text()).isEqualTo(GenerationText.text("g-1", 10));
  }

  /** Guards against a lost generation when its reader goes away, and a wrong offset after it. */
  @Test
  void closedStreamResumesFromItsOffset() {
    TokenStream stream = generate("g-1", 30, listener);
    timing.until(() -> listener.tokens() >= 3);
    stream.close();
    long read = listener.tokens();
    timing.until(() -> running("g-1").unattachedMillis() > 0);
    RecordingListener resumed = new RecordingListener();

    engine.resume("g-1", read, resumed).request(ALL);

    assertThat(timing.await(resumed.end).totalTokens()).isEqualTo(30);
    assertThat(listener.text().concat(resumed.text())).isEqualTo(GenerationText.text("g-1", 30));
    assertThat(listener.end.isDone()).isFalse();
  }

  /** Guards against the loss of an answer that ended while nobody read it. */
  @Test
  void endedGenerationIsKeptForAWhile() {
    generate("g-1", 4, listener);
    timing.await(listener.end);

    RecordingListener again = new RecordingListener();
    engine.resume("g-1", 1, again).request(ALL);

    assertThat(timing.await(again.end).totalTokens()).isEqualTo(4);
    assertThat(again.tokens()).isEqualTo(3);
  }

  /** Guards against a generation that looks attached although its reader left at once. */
  @Test
  void streamThatIsClosedAtOnceLeavesNoReader() {
    generate("g-1", 500, listener).close();

    timing.until(() -> simulated.history().starts("g-1") == 1);
    timing.until(() -> running("g-1").unattachedMillis() > 0);
    timing.pass(Duration.ofMillis(100));
    assertThat(running("g-1").unattachedMillis()).isAtLeast(100);
    assertThat(listener.frames()).isEmpty();
  }

  /** Guards against two readers of one generation, and against a resume of an unknown one. */
  @Test
  void newReaderReplacesTheOlderOne() {
    generate("g-1", 200, listener);
    timing.until(() -> listener.tokens() > 0);
    RecordingListener second = new RecordingListener();
    engine.resume("g-1", 0, second).request(ALL);

    assertThat(timing.failure(listener.end).outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    timing.until(() -> second.tokens() > 0);
    RecordingListener unknown = new RecordingListener();
    engine.resume("g-2", 0, unknown);
    assertThat(timing.failure(unknown.end).code()).isEqualTo(FailureCode.NOT_FOUND);
  }

  /** Guards against a cancellation that wins over a resume. */
  @Test
  void cancelRespectsAnAttachedReader() {
    generate("g-1", 500, listener);
    timing.until(() -> listener.tokens() > 0);

    assertThat(timing.await(engine.cancel("g-1", true))).isFalse();
    assertThat(timing.await(engine.cancel("g-1", false))).isTrue();

    assertThat(timing.await(listener.end).reason()).isEqualTo(GenerationEnd.Reason.CANCELLED);
    assertThat(timing.await(engine.cancel("g-1", false))).isFalse();
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

  /** Guards against a failure whose outcome says more than is known. */
  @ParameterizedTest
  @EnumSource(Fault.class)
  void faultsHaveAnOutcome(Fault fault) {
    if (fault == Fault.REFUSED) {
      refuseConnections();
    } else if (fault == Fault.REQUEST_LOST) {
      simulated.faults().loseRequests(1);
    } else if (fault == Fault.CRASHING_PROMPT) {
      simulated.faults().crashMarker("describe");
    }
    generate("g-1", 500, listener);
    if (fault == Fault.READER_CUT || fault == Fault.CRASH) {
      timing.until(() -> listener.tokens() > 0);
      Runnable cut = fault == Fault.CRASH ? simulated::crash : () -> simulated.cutReader("g-1");
      cut.run();
    }

    BasilportException failure = timing.failure(listener.end);

    assertThat(failure.outcome()).isEqualTo(fault.outcome);
    assertThat(failure.code()).isEqualTo(FailureCode.BACKEND_LOST);
  }

  /** Guards against generations that outlive their engine, and an incarnation that stays. */
  @Test
  void restartLosesGenerations() {
    generate("g-1", 500, listener);
    timing.until(() -> listener.tokens() > 0);
    simulated.restart();
    awaitReachable();

    EngineReport report = timing.await(engine.report());

    assertThat(report.incarnation()).isEqualTo(2);
    assertThat(report.running()).isEmpty();
    assertThat(timing.await(engine.cancel("g-1", false))).isFalse();
  }

  /** Guards against an order from a lease holder that was replaced. */
  @Test
  void ordersWithAnOldTokenAreRefused() {
    timing.await(engine.order(new EngineOrder(7, "decode", List.of("base"))));

    CompletableFuture<Void> old = engine.order(new EngineOrder(6, "decode", List.of("other")));

    assertThat(timing.failure(old).code()).isEqualTo(FailureCode.CONFLICT);
    assertThat(simulated.history().orders()).hasSize(1);
  }

  /** Guards against reports that hide memory, the leaving mark or waiting readers. */
  @Test
  void reportShowsLoadAndLeaving() {
    generate("g-1", 500, listener);
    timing.until(() -> listener.tokens() > 0);
    simulated.markLeaving();

    EngineReport report = timing.await(engine.report());

    assertThat(report.leaving()).isTrue();
    assertThat(report.usedTokens()).isGreaterThan(0);
    assertThat(report.running().get(0).workspace()).isEqualTo("ws");
    assertThat(report.running().get(0).unattachedMillis()).isEqualTo(0);
  }

  /** Waits until the engine answers again; over HTTP its server needs a moment to listen. */
  private void awaitReachable() {
    timing.until(
        () -> {
          CompletableFuture<EngineReport> report = engine.report();
          timing.until(report::isDone);
          return !report.isCompletedExceptionally() && report.join().incarnation() == 2;
        });
  }

  private RunningGeneration running(String id) {
    return simulated.currentReport().running().stream()
        .filter(generation -> generation.generationId().equals(id))
        .findFirst()
        .orElseThrow();
  }
}
