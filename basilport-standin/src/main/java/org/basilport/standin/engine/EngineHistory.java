package org.basilport.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.basilport.engine.EngineOrder;

/** What an engine did over all its incarnations, for checkers. */
public final class EngineHistory {
  private final Map<String, Integer> starts = new ConcurrentHashMap<>();
  private final List<EngineOrder> orders = new ArrayList<>();
  private final AtomicLong crashes = new AtomicLong();
  private final AtomicLong modelLoads = new AtomicLong();
  private volatile Duration latestStartAfterLeaving = Duration.ZERO;

  EngineHistory() {}

  /** How often a generation was started; more than once means that an id was used again. */
  public int starts(String generationId) {
    return starts.getOrDefault(generationId, 0);
  }

  /** How often each generation was started. */
  public Map<String, Integer> starts() {
    return Map.copyOf(starts);
  }

  /** Longest time between a leaving mark and a generation that was started after it. */
  public Duration latestStartAfterLeaving() {
    return latestStartAfterLeaving;
  }

  /** Number of crashes. */
  public long crashes() {
    return crashes.get();
  }

  /** Number of model loads that orders caused. */
  public long modelLoads() {
    return modelLoads.get();
  }

  /** Orders that took effect, oldest first. */
  public synchronized List<EngineOrder> orders() {
    return List.copyOf(orders);
  }

  /** Forgets the starts, so that a long run needs bounded memory. */
  public void clearStarts() {
    starts.clear();
  }

  void recordStart(String generationId, Duration afterLeaving) {
    starts.merge(generationId, 1, Integer::sum);
    if (afterLeaving.compareTo(latestStartAfterLeaving) > 0) {
      latestStartAfterLeaving = afterLeaving;
    }
  }

  void recordCrash() {
    crashes.incrementAndGet();
  }

  synchronized void recordOrder(EngineOrder order, boolean loadsModels) {
    orders.add(order);
    if (loadsModels) {
      modelLoads.incrementAndGet();
    }
  }
}
