package org.basilport.bench.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Simulates an engine with continuous batching and a key-value cache of limited size.
 *
 * <p>Each step decodes one token of each sequence and prefills prompt tokens within the step's
 * token budget. When the cache has no room for the next token of each sequence, the sequence with
 * the lowest priority, and among equals the latest arrival, is preempted: its cache is freed, it is
 * queued again, and its prompt and generated tokens are recomputed when it is admitted again.
 */
final class EngineModel {
  private static final int PROGRESS_INTERVAL_TOKENS = 16;

  /** Fraction of the key-value cache that must stay free when a sequence is admitted. */
  private static final double WATERMARK_SHARE = 0.01;

  /** Number of most recent steps whose median duration is reported. */
  private static final int MEDIAN_WINDOW_STEPS = 33;

  private static final double MILLIS_PER_NANO = 1e-6;

  private static final Comparator<Generation> SCHEDULING_ORDER =
      Comparator.comparingInt((Generation generation) -> -generation.priority)
          .thenComparingLong(generation -> generation.queueOrder);

  private final String id;
  private final int dataCentre;
  private final EngineSettings settings;
  private final double slowdownFactor;
  private final EngineListener listener;
  private final PrefixCache cache;
  private final List<Generation> batch = new ArrayList<>();
  private final PriorityQueue<Generation> waiting = new PriorityQueue<>(SCHEDULING_ORDER);
  private final List<Generation> completed = new ArrayList<>();
  private long usedTokens;
  private long previousEndNanos;
  private long nextQueueOrder;
  private final double[] recentMillis = new double[MEDIAN_WINDOW_STEPS];
  private int steps;

  EngineModel(
      String id,
      int dataCentre,
      EngineSettings settings,
      double slowdownFactor,
      EngineListener listener) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.settings = settings;
    this.slowdownFactor = slowdownFactor;
    this.listener = listener;
    this.cache = new PrefixCache(settings.cacheTokens());
  }

  String id() {
    return id;
  }

  int dataCentre() {
    return dataCentre;
  }

  long usedTokens() {
    return usedTokens;
  }

  int waitingCount() {
    return waiting.size();
  }

  int runningCount() {
    return batch.size();
  }

  /** Returns the median duration of the recent steps, in milliseconds; 0 while too few have run. */
  double medianStepMillis() {
    if (steps < MEDIAN_WINDOW_STEPS) {
      return 0;
    }
    double[] sorted = recentMillis.clone();
    Arrays.sort(sorted);
    return sorted[MEDIAN_WINDOW_STEPS / 2];
  }

  boolean idle() {
    return batch.isEmpty() && waiting.isEmpty();
  }

  /** Queues a generation. */
  void add(Generation generation, int priority) {
    generation.priority = priority;
    generation.queueOrder = nextQueueOrder++;
    waiting.add(generation);
  }

  /** Removes and returns all running and queued generations. */
  List<Generation> crash() {
    List<Generation> lost = new ArrayList<>(batch);
    lost.addAll(waiting);
    batch.clear();
    waiting.clear();
    usedTokens = 0;
    return lost;
  }

  /** Admits and preempts sequences, then starts a step; returns its end time, in nanoseconds. */
  long startStep(long nowNanos) {
    admit();
    preemptToFit(nowNanos);
    long tokenBudget = settings.stepTokenBudget();
    long heldTokens = 0;
    int decoded = 0;
    for (Generation generation : batch) {
      if (generation.remainingPrefillTokens == 0) {
        decoded++;
        heldTokens += generation.heldTokens();
      }
    }
    long remainingBudget = tokenBudget - decoded;
    for (int i = 0; i < batch.size() && remainingBudget > 0; i++) {
      Generation generation = batch.get(i);
      long computed = Math.min(remainingBudget, generation.remainingPrefillTokens);
      generation.remainingPrefillTokens -= computed;
      remainingBudget -= computed;
    }
    double nanos =
        slowdownFactor
            * settings.stepNanos(decoded, heldTokens, tokenBudget - decoded - remainingBudget);
    recentMillis[steps % MEDIAN_WINDOW_STEPS] = nanos * MILLIS_PER_NANO;
    steps++;
    return nowNanos + (long) nanos;
  }

  /** Ends a step: each sequence whose prompt is fully prefilled produces a token. */
  void endStep(long nowNanos) {
    int regular = 0;
    int streamed = 0;
    for (Generation generation : batch) {
      if (generation.remainingPrefillTokens > 0) {
        continue;
      }
      generation.generatedTokens++;
      usedTokens++;
      if (generation.lastTokenNanos == Generation.NEVER) {
        generation.firstTokenNanos = nowNanos;
        listener.firstToken(generation, nowNanos);
      } else if (generation.lastTokenNanos == previousEndNanos) {
        regular++;
        streamed += generation.streamedCount;
      } else {
        listener.tokensProduced(nowNanos - generation.lastTokenNanos, 1, generation.streamedCount);
      }
      generation.lastTokenNanos = nowNanos;
      if (generation.complete()) {
        completed.add(generation);
      } else if (generation.generatedTokens % PROGRESS_INTERVAL_TOKENS == 0) {
        listener.progressed(generation, nowNanos);
      }
    }
    if (regular > 0) {
      listener.tokensProduced(nowNanos - previousEndNanos, regular, streamed);
    }
    previousEndNanos = nowNanos;
    releaseCompleted(nowNanos);
  }

  private void releaseCompleted(long nowNanos) {
    if (completed.isEmpty()) {
      return;
    }
    batch.removeIf(Generation::complete);
    for (Generation generation : completed) {
      usedTokens -= generation.heldTokens();
      listener.finished(generation, nowNanos);
    }
    completed.clear();
  }

  private void admit() {
    while (!waiting.isEmpty() && batch.size() < settings.maxSequences()) {
      Generation next = waiting.peek();
      double freeTokens =
          settings.capacityTokens() * (1 - WATERMARK_SHARE) - usedTokens - batch.size();
      if (next.heldTokens() > freeTokens && !batch.isEmpty()) {
        return;
      }
      waiting.remove();
      usedTokens += next.heldTokens();
      long hash = next.item.prefixHash();
      next.remainingPrefillTokens = Math.max(1, next.heldTokens() - cache.lookup(hash));
      if (cache.add(
          hash,
          next.arrival.prefixTokens(),
          evicted -> listener.prefixCacheChanged(id, evicted, false))) {
        listener.prefixCacheChanged(id, hash, true);
      }
      batch.add(next);
    }
  }

  private void preemptToFit(long nowNanos) {
    while (usedTokens + batch.size() > settings.capacityTokens() && batch.size() > 1) {
      Generation victim = batch.get(0);
      for (Generation generation : batch) {
        if (SCHEDULING_ORDER.compare(generation, victim) > 0) {
          victim = generation;
        }
      }
      batch.remove(victim);
      usedTokens -= victim.heldTokens();
      victim.preemptions++;
      waiting.add(victim);
      listener.preempted(victim, nowNanos);
    }
  }
}
