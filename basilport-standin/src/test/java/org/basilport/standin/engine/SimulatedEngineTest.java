package org.basilport.standin.engine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.error.BasilportException;
import org.basilport.misc.VirtualScheduler;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SimulatedEngineTest {
  private final VirtualScheduler scheduler = new VirtualScheduler(Instant.EPOCH);
  private final List<String> trace = new ArrayList<>();

  private SimulatedEngine engine(EngineSettings settings) {
    return new SimulatedEngine("e1", settings, scheduler, new SplittableRandom(7));
  }

  private void generate(SimulatedEngine engine, String id, String prompt, int priority) {
    EngineRequest request = new EngineRequest(id, "ws", prompt, 100_000, priority);
    engine.generate(request, new TracingListener(id)).request(1_000_000);
  }

  @Nested
  class Memory {
    private final SimulatedEngine engine =
        engine(EngineSettings.defaults().withCapacityTokens(300).withReportLag(Duration.ZERO));

    /** Guards against memory use above the capacity, and against losing preempted generations. */
    @Test
    void lowestPriorityIsPreemptedAndRecomputed() {
      generate(engine, "low", "length=150", 1);
      generate(engine, "high", "length=200", 9);
      long maxUsedTokens = 0;
      for (int i = 0;
          i < 20_000 && trace.stream().filter(s -> s.contains("end")).count() < 2;
          i++) {
        scheduler.runNext();
        maxUsedTokens = Math.max(maxUsedTokens, engine.currentReport().usedTokens());
      }

      assertThat(engine.currentReport().preemptions()).isAtLeast(1);
      assertThat(maxUsedTokens).isAtMost(300);
      List<String> ends = trace.stream().filter(line -> line.contains("end")).toList();
      assertThat(ends.get(0)).startsWith("high end 200 STOP");
      assertThat(ends.get(1)).startsWith("low end 150 STOP");
    }

    /** Guards against a generation that outgrows the memory and blocks the engine forever. */
    @Test
    void generationThatFillsTheMemoryAloneEnds() {
      generate(engine, "g", "length=5000", 0);
      scheduler.runFor(Duration.ofSeconds(30));

      assertThat(trace.get(trace.size() - 1)).contains("LENGTH");
      assertThat(engine.currentReport().usedTokens()).isEqualTo(0);
    }
  }

  /** Guards against a prefix cache that does not reduce the time to the first token. */
  @Test
  void cachedPrefixReducesPrefillTime() {
    SimulatedEngine engine = engine(EngineSettings.defaults());
    String prefix = "core log ".repeat(2_000);
    List<Long> times = new ArrayList<>();
    for (String id : List.of("cold", "warm")) {
      long start = scheduler.nanoTime();
      generate(engine, id, prefix + id + " length=1", 0);
      while (trace.stream().noneMatch(line -> line.startsWith(id + " end"))) {
        scheduler.runNext();
      }
      times.add(scheduler.nanoTime() - start);
    }

    assertThat(times.get(1)).isLessThan(times.get(0) / 2);
    assertThat(engine.currentReport().cacheSequence()).isGreaterThan(0);
  }

  /** Guards against reports of the current load in spite of a configured lag. */
  @Test
  void reportsAreDelayed() {
    SimulatedEngine engine = engine(EngineSettings.defaults().withReportLag(Duration.ofSeconds(2)));
    generate(engine, "g", "length=3000", 0);
    scheduler.runFor(Duration.ofSeconds(10));

    CompletableFuture<EngineReport> report = engine.report();
    scheduler.runFor(Duration.ofMillis(10));
    long now = engine.currentReport().running().get(0).generatedTokens();
    long lagTokens = now - report.join().running().get(0).generatedTokens();
    assertThat(lagTokens).isIn(Range.closed(90L, 135L));
  }

  /** Guards against a stall that loses tokens or does not pause the stream. */
  @Test
  void stalledStreamsContinueAfterTheStall() {
    SimulatedEngine engine = engine(EngineSettings.defaults());
    generate(engine, "g", "length=100", 0);
    scheduler.runFor(Duration.ofMillis(200));
    engine.stallStreams(Duration.ofSeconds(3));
    scheduler.runFor(Duration.ofMillis(10));
    int before = trace.size();
    scheduler.runFor(Duration.ofMillis(2_900));
    assertThat(trace).hasSize(before);
    scheduler.runFor(Duration.ofSeconds(5));

    assertThat(trace.get(trace.size() - 1)).startsWith("g end 100 STOP");
  }

  /** Guards against a reclaimed engine that restarts, and no restart after a crash marker. */
  @Test
  void reclaimAndAutomaticRestart() {
    SimulatedEngine engine = engine(EngineSettings.defaults());
    engine.faults().automaticRestart(Duration.ofSeconds(1));
    engine.faults().crashMarker("poison");
    generate(engine, "g", "poison", 0);
    scheduler.runFor(Duration.ofSeconds(2));
    assertThat(engine.incarnation()).isEqualTo(2);

    engine.reclaim(Duration.ofSeconds(2));
    generate(engine, "after", "length=5", 0);
    scheduler.runFor(Duration.ofSeconds(60));

    assertThat(engine.isDown()).isTrue();
    assertThat(engine.history().longestStartDelayAfterLeaving()).isEqualTo(Duration.ofMillis(1));
  }

  /** Guards against injected frame faults that do not reach the receiver. */
  @ParameterizedTest
  @ValueSource(strings = {"duplicate", "reorder", "foreign"})
  void injectedFrameFaultsAreVisible(String fault) {
    SimulatedEngine engine = engine(EngineSettings.defaults());
    engine.faults().duplicateFrames(fault.equals("duplicate") ? 0.5 : 0);
    engine.faults().reorderFrames(fault.equals("reorder") ? 0.5 : 0);
    engine.faults().unknownGenerationFrames(fault.equals("foreign") ? 0.5 : 0);
    generate(engine, "g", "length=200", 0);
    engine.stallStreams(Duration.ofSeconds(2));
    scheduler.runFor(Duration.ofSeconds(20));

    boolean faultVisible =
        fault.equals("foreign")
            ? trace.stream().anyMatch(line -> line.startsWith("g-foreign"))
            : !trace.stream()
                .distinct()
                .sorted(SimulatedEngineTest::byOffset)
                .toList()
                .equals(trace);
    assertThat(faultVisible).isTrue();
  }

  private static int byOffset(String left, String right) {
    return Long.compare(offset(left), offset(right));
  }

  private static long offset(String line) {
    return line.contains("end") ? Long.MAX_VALUE : Long.parseLong(line.split(" ")[1]);
  }

  /** Guards against randomness that does not derive from the seed. */
  @Test
  void sameSeedGivesTheSameTrace() {
    List<String> first = new ArrayList<>(randomTrace());
    trace.clear();
    assertThat(randomTrace()).isEqualTo(first);
    assertThat(first.size()).isGreaterThan(500);
  }

  private List<String> randomTrace() {
    SimulatedEngine engine = engine(EngineSettings.defaults().withCapacityTokens(2_000));
    engine.faults().reorderFrames(0.1);
    engine.faults().loseRequests(0.2);
    for (int i = 0; i < 40; i++) {
      generate(engine, "g" + i, "describe", i % 3);
      scheduler.runFor(Duration.ofMillis(500));
    }
    engine.crash();
    scheduler.runFor(Duration.ofSeconds(1));
    return trace;
  }

  /** Guards against an engine that checks fencing tokens although fencing is disabled. */
  @Test
  void ordersWithAStaleTokenTakeEffectWithoutFencing() {
    SimulatedEngine engine = engine(EngineSettings.defaults().withFencing(false));
    engine.order(new EngineOrder(7, "decode", List.of("base")));
    engine.order(new EngineOrder(6, "decode", List.of("adapter")));
    scheduler.runFor(Duration.ofSeconds(10));

    assertThat(engine.currentReport().loadedModels()).containsExactly("adapter");
    assertThat(engine.history().modelLoads()).isEqualTo(1);
  }

  /** Guards against an output length distribution without a heavy tail. */
  @Test
  void lengthsAreHeavyTailed() {
    OutputLengthSampler sampler = new OutputLengthSampler(120, 1.3, new SplittableRandom(3));
    int[] samples = IntStream.range(0, 20_000).map(i -> sampler.sample("x")).sorted().toArray();

    assertThat(samples[10_000]).isIn(Range.closed(110, 130));
    assertThat(samples[19_800]).isGreaterThan(1_800);
    assertThat(sampler.sample("please length=42")).isEqualTo(42);
  }

  private final class TracingListener implements TokenListener {
    private final String id;

    TracingListener(String id) {
      this.id = id;
    }

    @Override
    public void onTokens(TokenFrame frame) {
      trace.add(frame.generationId() + " " + frame.offset() + " " + frame.tokens().size());
    }

    @Override
    public void onEnd(GenerationEnd end) {
      trace.add(id + " end " + end.totalTokens() + " " + end.reason());
    }

    @Override
    public void onFailure(BasilportException failure) {
      trace.add(id + " failed " + failure.outcome() + " " + failure.getMessage());
    }
  }
}
