package org.basilport.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.basilport.engine.EngineOrder;

/** Starts, orders, crashes and model loads of an engine over all incarnations, for test checks. */
public final class EngineHistory {
  private final Map<String, Integer> starts = new ConcurrentHashMap<>();
  private final List<EngineOrder> orders = new ArrayList<>();
  private final AtomicLong crashes = new AtomicLong();
  private final AtomicLong modelLoads = new AtomicLong();
  private volatile Duration longestStartDelayAfterLeaving = Duration.ZERO;

  EngineHistory() {}

  /** Number of starts with a generation id; more than one means that the id was reused. */
  public int starts(String generationId) {
    return starts.getOrDefault(generationId, 0);
  }

  /** Number of starts by generation id. */
  public Map<String, Integer> starts() {
    return Map.copyOf(starts);
  }

  /** Longest time from the leaving mark to a generation that started after it; zero if none did. */
  public Duration longestStartDelayAfterLeaving() {
    return longestStartDelayAfterLeaving;
  }

  /** Number of crashes. */
  public long crashes() {
    return crashes.get();
  }

  /** Number of orders that made the engine load models. */
  public long modelLoads() {
    return modelLoads.get();
  }

  /** Accepted orders, oldest first. */
  public synchronized List<EngineOrder> orders() {
    return List.copyOf(orders);
  }

  /** Clears the starts to bound memory use in long runs. */
  public void clearStarts() {
    starts.clear();
  }

  void recordStart(String generationId, Duration afterLeaving) {
    starts.merge(generationId, 1, Integer::sum);
    if (afterLeaving.compareTo(longestStartDelayAfterLeaving) > 0) {
      longestStartDelayAfterLeaving = afterLeaving;
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
