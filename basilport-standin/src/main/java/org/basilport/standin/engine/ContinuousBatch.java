package org.basilport.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import org.basilport.engine.GenerationEnd;

/**
 * Continuous batching with limited key-value memory; guarded by the engine's lock.
 *
 * <p>Each step generates one token for every running generation whose prefill is complete. Before a
 * step, generations are preempted, lowest priority and then latest admission first, until the new
 * tokens fit. A preempted generation releases its memory, returns to the queue, and recomputes its
 * prompt and the tokens generated so far.
 */
final class ContinuousBatch {
  private static final Comparator<SimulatedGeneration> ADMISSION_ORDER =
      Comparator.<SimulatedGeneration>comparingInt(generation -> -generation.request.priority())
          .thenComparingLong(generation -> generation.arrivalNumber);
  private static final Comparator<SimulatedGeneration> PREEMPTION_ORDER =
      Comparator.<SimulatedGeneration>comparingInt(generation -> generation.request.priority())
          .thenComparingLong(generation -> -generation.admissionNumber);

  private final EngineSettings settings;
  private final PrefixCache cache;
  private final TreeSet<SimulatedGeneration> waiting = new TreeSet<>(ADMISSION_ORDER);
  private final List<SimulatedGeneration> running = new ArrayList<>();
  private long usedTokens;
  private long admissions;
  private long preemptions;

  ContinuousBatch(EngineSettings settings, PrefixCache cache) {
    this.settings = settings;
    this.cache = cache;
  }

  void add(SimulatedGeneration generation) {
    waiting.add(generation);
  }

  void remove(SimulatedGeneration generation) {
    waiting.remove(generation);
    if (running.remove(generation)) {
      usedTokens -= generation.allocatedTokens();
      generation.admitted = false;
    }
  }

  void clear() {
    waiting.clear();
    running.clear();
    usedTokens = 0;
    preemptions = 0;
  }

  boolean isEmpty() {
    return waiting.isEmpty() && running.isEmpty();
  }

  int waiting() {
    return waiting.size();
  }

  long usedTokens() {
    return usedTokens;
  }

  long preemptions() {
    return preemptions;
  }

  List<SimulatedGeneration> running() {
    return running;
  }

  /** All running and waiting generations. */
  List<SimulatedGeneration> all() {
    List<SimulatedGeneration> all = new ArrayList<>(running);
    all.addAll(waiting);
    return all;
  }

  /** Preempts and admits generations, and returns the duration of the next step. */
  Duration planStep() {
    while (running.size() > 1 && usedTokens + running.size() > settings.capacityTokens()) {
      preempt(running.stream().min(PREEMPTION_ORDER).orElseThrow());
    }
    while (!waiting.isEmpty() && canAdmit(waiting.first())) {
      admit(waiting.pollFirst());
    }
    long prefill =
        running.stream().mapToLong(generation -> generation.remainingPrefillTokens).sum();
    long computed = Math.min(prefill, settings.prefillTokensPerStep());
    return settings
        .baseStep()
        .plus(settings.stepPerSequence().multipliedBy(running.size()))
        .plus(settings.stepPerPrefillToken().multipliedBy(computed));
  }

  /** Completes the planned step, and returns the generations that have a new token or ended. */
  List<SimulatedGeneration> finishStep() {
    long budget = settings.prefillTokensPerStep();
    List<SimulatedGeneration> changed = new ArrayList<>();
    for (SimulatedGeneration generation : List.copyOf(running)) {
      long computed = Math.min(budget, generation.remainingPrefillTokens);
      budget -= computed;
      generation.remainingPrefillTokens -= computed;
      if (generation.remainingPrefillTokens == 0) {
        if (computed > 0) {
          cache.add(generation.request.prompt());
        }
        addToken(generation);
        changed.add(generation);
      }
    }
    return changed;
  }

  private void addToken(SimulatedGeneration generation) {
    if (usedTokens >= settings.capacityTokens()) {
      // Nothing is left to preempt for a generation that fills the memory by itself.
      generation.endReason = GenerationEnd.Reason.LENGTH;
    } else {
      generation.addToken();
      usedTokens++;
    }
    if (generation.ended()) {
      remove(generation);
    }
  }

  private boolean canAdmit(SimulatedGeneration generation) {
    long nextStepTokens = running.size() + 1;
    boolean fitsInMemory =
        usedTokens + generation.requiredTokens() + nextStepTokens <= settings.capacityTokens()
            || running.isEmpty();
    return fitsInMemory && running.size() < settings.maxBatch();
  }

  private void admit(SimulatedGeneration generation) {
    long cached = cache.cachedTokens(generation.request.prompt());
    generation.remainingPrefillTokens = Math.max(1, generation.requiredTokens() - cached);
    generation.admissionNumber = ++admissions;
    generation.admitted = true;
    usedTokens += generation.requiredTokens();
    running.add(generation);
  }

  private void preempt(SimulatedGeneration generation) {
    remove(generation);
    waiting.add(generation);
    preemptions++;
  }
}
