package org.basilport.bench.policy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class PolicyBenchmarkTest {
  private static BenchmarkSettings settings(int seconds, int seeds) {
    return new BenchmarkSettings(
        EngineSettings.standard(),
        Duration.ofSeconds(seconds),
        Duration.ofSeconds(seconds / 4),
        seeds,
        1,
        2);
  }

  @Nested
  class Targets {
    /**
     * Guards against a policy change that loses the gain over the least-outstanding baseline in
     * stall time, preemptions or goodput. The target for the 99th percentile of the time between
     * tokens is missed at present and listed in KNOWN-RED.txt.
     */
    @Test
    void holdAtFullMemory() {
      BenchmarkResult result =
          new PolicyBenchmark(settings(1_200, 1))
              .run(
                  List.of(Deployment.values()),
                  List.of(Workload.steady("load-1.0", 1.0)),
                  List.of(Candidate.LEAST_OUTSTANDING, Candidate.ADAPTIVE));
      for (Target target : new TargetCheck(result).check()) {
        if (!target.name().contains(Measure.GAP_P99.title())) {
          assertWithMessage(target.toString()).that(target.met()).isTrue();
        }
      }
    }
  }

  @Nested
  class Runs {
    /** Guards against nondeterminism beyond the seed, which makes results irreproducible. */
    @Test
    void areTheSameForTheSameSeed() {
      assertThat(table()).isEqualTo(table());
    }

    private String table() {
      Workload workload =
          Workload.steady("all", 1.2)
              .withLoadShift("all")
              .withCrashingReplica("all")
              .withLostEvents("all", 0.3);
      BenchmarkResult result =
          new PolicyBenchmark(settings(60, 1))
              .run(
                  List.of(Deployment.LEDGER_SCRIBE),
                  List.of(workload),
                  List.of(Candidate.values()));
      return new TextReport().render(result);
    }

    /** Guards against a greedy workspace that changes the arrivals of the other workspaces. */
    @Test
    void haveTheSameOtherArrivalsWithAGreedyWorkspace() {
      Workload usual = Workload.steady("usual", 0.8);
      assertThat(others(usual.withGreedy("greedy", 10))).isEqualTo(others(usual));
    }

    private List<Arrival> others(Workload workload) {
      List<Arrival> arrivals =
          new ArrayList<>(
              new ArrivalGenerator(Deployment.GEO_LLM, workload, EngineSettings.standard(), 3)
                  .generate(Duration.ofSeconds(100).toNanos()));
      arrivals.removeIf(arrival -> arrival.workspace() == ArrivalGenerator.GREEDY_WORKSPACE);
      return arrivals;
    }
  }

  @Nested
  class Engines {
    /** Guards against an engine model that exceeds its capacity or loses a generation. */
    @Test
    void stayWithinTheirMemoryAndFinishEverything() {
      List<Arrival> arrivals =
          new ArrivalGenerator(
                  Deployment.GEO_LLM, Workload.steady("x", 1.5), EngineSettings.standard(), 5)
              .generate(Duration.ofSeconds(60).toNanos());
      CountingListener listener = new CountingListener();
      EngineSettings settings = EngineSettings.standard();
      EngineModel engine = new EngineModel("e", 0, settings, 1, listener);
      arrivals.forEach(arrival -> engine.add(new Generation(arrival, arrival.item()), 0));
      long now = 0;
      while (!engine.idle()) {
        now = engine.startStep(now);
        engine.endStep(now);
        assertThat(engine.usedTokens()).isAtMost(settings.capacityTokens());
      }
      assertThat(listener.finished).isEqualTo(arrivals.size());
      assertThat(listener.preempted).isGreaterThan(0);
      assertThat(engine.usedTokens()).isEqualTo(0);
    }
  }

  @Nested
  class Command {
    @TempDir private Path directory;

    /** Guards against missing report files and against references to other files in them. */
    @Test
    void writesSelfContainedReports() throws Exception {
      Path json = directory.resolve("r.json");
      Path html = directory.resolve("r.html");
      StringWriter out = new StringWriter();
      int exit =
          new CommandLine(new PolicyBenchmarkCommand())
              .setOut(new PrintWriter(out))
              .execute(
                  "--seeds=1",
                  "--seconds=40",
                  "--threads=2",
                  "--workload=load-0.7",
                  "--json=" + json,
                  "--html=" + html);
      assertThat(exit).isEqualTo(0);
      assertThat(out.toString()).contains("geo-llm load-0.7, 1 seeds");
      assertThat(Files.readString(json)).contains("\"policy\" : \"oracle\"");
      assertThat(Files.readString(html)).contains("<svg");
      assertThat(Files.readString(html)).doesNotContain("src=");
      assertThat(Files.readString(html)).doesNotContain("href=");
    }
  }

  private static final class CountingListener implements EngineListener {
    private int finished;
    private int preempted;

    @Override
    public void firstToken(Generation generation, long nowNanos) {}

    @Override
    public void tokensProduced(long gapNanos, int count, int streamedCount) {}

    @Override
    public void progressed(Generation generation, long nowNanos) {}

    @Override
    public void finished(Generation generation, long nowNanos) {
      finished++;
    }

    @Override
    public void preempted(Generation generation, long nowNanos) {
      preempted++;
    }

    @Override
    public void prefixCacheChanged(String serverId, long prefixHash, boolean present) {}
  }
}
