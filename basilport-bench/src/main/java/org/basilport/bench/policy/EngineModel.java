package org.basilport.bench.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A compact model of an engine with continuous batching and limited key-value memory.
 *
 * <p>Each step decodes one token of each sequence and computes prompt tokens within the step's
 * token budget. When the memory does not hold the next token of each sequence, the sequence with
 * the lowest priority, and among equals the latest arrival, loses its memory and waits; later its
 * prompt and its tokens so far are computed again.
 */
final class EngineModel {
  private static final int PROGRESS_BLOCK = 16;

  /** Share of the memory that must stay free when a waiting sequence enters the batch. */
  private static final double WATERMARK = 0.01;

  /** Steps whose median time an engine reports. */
  private static final int RECENT = 33;

  private static final double MILLIS = 1e-6;

  private static final Comparator<Generation> KEEP_ORDER =
      Comparator.comparingInt((Generation generation) -> -generation.priority)
          .thenComparingLong(generation -> generation.order);

  private final String id;
  private final int dataCentre;
  private final EngineSettings settings;
  private final double slowness;
  private final EngineListener listener;
  private final PrefixCache cache;
  private final List<Generation> batch = new ArrayList<>();
  private final PriorityQueue<Generation> waiting = new PriorityQueue<>(KEEP_ORDER);
  private final List<Generation> done = new ArrayList<>();
  private long usedTokens;
  private long previousEndNanos;
  private long orders;
  private final double[] recentMillis = new double[RECENT];
  private int steps;

  EngineModel(
      String id,
      int dataCentre,
      EngineSettings settings,
      double slowness,
      EngineListener listener) {
    this.id = id;
    this.dataCentre = dataCentre;
    this.settings = settings;
    this.slowness = slowness;
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

  /** Returns the median time of the recent steps, in milliseconds; 0 before there are enough. */
  double stepMillis() {
    if (steps < RECENT) {
      return 0;
    }
    double[] sorted = recentMillis.clone();
    Arrays.sort(sorted);
    return sorted[RECENT / 2];
  }

  boolean idle() {
    return batch.isEmpty() && waiting.isEmpty();
  }

  /** Queues a generation at the engine. */
  void add(Generation generation, int priority) {
    generation.priority = priority;
    generation.order = orders++;
    waiting.add(generation);
  }

  /** Returns everything that ran or waited, and becomes empty. */
  List<Generation> die() {
    List<Generation> lost = new ArrayList<>(batch);
    lost.addAll(waiting);
    batch.clear();
    waiting.clear();
    usedTokens = 0;
    return lost;
  }

  /** Starts a step; returns the time at which it ends. */
  long startStep(long nowNanos) {
    admit();
    makeRoom(nowNanos);
    long budget = settings.stepTokenBudget();
    long held = 0;
    int decoded = 0;
    for (Generation generation : batch) {
      if (generation.prefillRemaining == 0) {
        decoded++;
        held += generation.held();
      }
    }
    long left = budget - decoded;
    for (int i = 0; i < batch.size() && left > 0; i++) {
      Generation generation = batch.get(i);
      long computed = Math.min(left, generation.prefillRemaining);
      generation.prefillRemaining -= computed;
      left -= computed;
    }
    double nanos = slowness * settings.stepNanos(decoded, held, budget - decoded - left);
    recentMillis[steps % RECENT] = nanos * MILLIS;
    steps++;
    return nowNanos + (long) nanos;
  }

  /** Ends a step: each sequence whose prompt is computed produces a token. */
  void endStep(long nowNanos) {
    int regular = 0;
    int streamed = 0;
    for (Generation generation : batch) {
      if (generation.prefillRemaining > 0) {
        continue;
      }
      generation.generated++;
      usedTokens++;
      if (generation.lastTokenNanos == Generation.NEVER) {
        generation.firstTokenNanos = nowNanos;
        listener.firstToken(generation, nowNanos);
      } else if (generation.lastTokenNanos == previousEndNanos) {
        regular++;
        streamed += generation.streamed;
      } else {
        listener.tokens(nowNanos - generation.lastTokenNanos, 1, generation.streamed);
      }
      generation.lastTokenNanos = nowNanos;
      if (generation.done()) {
        done.add(generation);
      } else if (generation.generated % PROGRESS_BLOCK == 0) {
        listener.progressed(generation, nowNanos);
      }
    }
    if (regular > 0) {
      listener.tokens(nowNanos - previousEndNanos, regular, streamed);
    }
    previousEndNanos = nowNanos;
    release(nowNanos);
  }

  private void release(long nowNanos) {
    if (done.isEmpty()) {
      return;
    }
    batch.removeIf(Generation::done);
    for (Generation generation : done) {
      usedTokens -= generation.held();
      listener.finished(generation, nowNanos);
    }
    done.clear();
  }

  private void admit() {
    while (!waiting.isEmpty() && batch.size() < settings.maxSequences()) {
      Generation next = waiting.peek();
      double free = settings.capacityTokens() * (1 - WATERMARK) - usedTokens - batch.size();
      if (next.held() > free && !batch.isEmpty()) {
        return;
      }
      waiting.remove();
      usedTokens += next.held();
      long hash = next.item.prefixHash();
      next.prefillRemaining = Math.max(1, next.held() - cache.hit(hash));
      if (cache.add(
          hash, next.arrival.prefixTokens(), dropped -> listener.cached(id, dropped, false))) {
        listener.cached(id, hash, true);
      }
      batch.add(next);
    }
  }

  private void makeRoom(long nowNanos) {
    while (usedTokens + batch.size() > settings.capacityTokens() && batch.size() > 1) {
      Generation victim = batch.get(0);
      for (Generation generation : batch) {
        if (KEEP_ORDER.compare(generation, victim) > 0) {
          victim = generation;
        }
      }
      batch.remove(victim);
      usedTokens -= victim.held();
      victim.preemptions++;
      waiting.add(victim);
      listener.preempted(victim, nowNanos);
    }
  }
}
