package org.basilport.bench.soak;

import java.util.Map;
import java.util.TreeMap;

/** Named counters of a soak run. */
public final class SoakCounters {
  private final Map<String, Long> counts = new TreeMap<>();

  void add(String name) {
    add(name, 1);
  }

  void add(String name, long amount) {
    counts.merge(name, amount, Long::sum);
  }

  /** Returns the value of a counter, 0 when it was never incremented. */
  public long count(String name) {
    return counts.getOrDefault(name, 0L);
  }

  /** Returns the values of all counters by name. */
  public Map<String, Long> asMap() {
    return Map.copyOf(counts);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    counts.forEach((name, count) -> text.append(name).append('=').append(count).append(' '));
    return text.toString().trim();
  }
}
