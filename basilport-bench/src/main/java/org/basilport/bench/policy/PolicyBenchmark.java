package org.basilport.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs several policies on the same arrivals of each workload. */
public final class PolicyBenchmark {
  private static final double GREEDY_FACTOR = 10;
  private static final double LOST_EVENT_SHARE = 0.3;

  private final BenchmarkSettings settings;

  public PolicyBenchmark(BenchmarkSettings settings) {
    this.settings = settings;
  }

  /** Returns all workloads that the benchmark defines. */
  public static List<Workload> workloads() {
    Workload full = Workload.steady("load-1.0", 1.0);
    Workload moderate = Workload.steady("moderate", 0.8);
    return List.of(
        Workload.steady("load-0.7", 0.7),
        full,
        Workload.steady("load-1.3", 1.3),
        Workload.steady("term-start", 0.7).withLoadShift("term-start"),
        moderate,
        moderate.withGreedy("greedy", GREEDY_FACTOR),
        full.withSlowReplica("slow-replica"),
        full.withCrashingReplica("dying-replica"),
        full.withLag("lag-0.1s", 100, true),
        full.withLag("lag-5s", 5_000, true),
        full.withLag("lag-5s-unknown", 5_000, false),
        full.withLostEvents("lost-events", LOST_EVENT_SHARE));
  }

  /**
   * Runs each workload on each deployment with each policy and seed.
   *
   * @throws IllegalStateException when a run fails or the calling thread is interrupted
   */
  public BenchmarkResult run(
      List<Deployment> deployments, List<Workload> workloads, List<Candidate> candidates) {
    ExecutorService executor = Executors.newFixedThreadPool(settings.threads());
    try {
      List<Future<List<BenchmarkRun>>> futures = new ArrayList<>();
      for (Deployment deployment : deployments) {
        for (Workload workload : workloads) {
          for (int i = 0; i < settings.seeds(); i++) {
            long seed = settings.firstSeed() + i;
            Callable<List<BenchmarkRun>> task =
                () -> runCandidates(deployment, workload, candidates, seed);
            futures.add(executor.submit(task));
          }
        }
      }
      List<BenchmarkRun> runs = new ArrayList<>();
      for (Future<List<BenchmarkRun>> future : futures) {
        runs.addAll(future.get());
      }
      return new BenchmarkResult(settings, runs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("policy benchmark interrupted; results are discarded", e);
    } catch (ExecutionException e) {
      throw new IllegalStateException(
          "policy benchmark run failed; results are discarded", e.getCause());
    } finally {
      executor.shutdownNow();
    }
  }

  private List<BenchmarkRun> runCandidates(
      Deployment deployment, Workload workload, List<Candidate> candidates, long seed) {
    List<Arrival> arrivals =
        new ArrivalGenerator(deployment, workload, settings.engine(), seed)
            .generate(settings.duration().toNanos());
    List<BenchmarkRun> runs = new ArrayList<>();
    for (Candidate candidate : candidates) {
      PolicySimulation simulation =
          new PolicySimulation(
              deployment, workload, arrivals, candidate.factory(arrivals), settings, seed);
      runs.add(new BenchmarkRun(deployment, workload, candidate, seed, simulation.run()));
    }
    return runs;
  }
}
