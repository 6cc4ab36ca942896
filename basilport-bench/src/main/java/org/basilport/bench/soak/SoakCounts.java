package org.basilport.bench.soak;

import java.util.Map;
import java.util.TreeMap;

/** Counts what happened in a randomised run, by name. */
public final class SoakCounts {
  private final Map<String, Long> counts = new TreeMap<>();

  void add(String name) {
    add(name, 1);
  }

  void add(String name, long amount) {
    counts.merge(name, amount, Long::sum);
  }

  /** Returns a count, 0 when it never happened. */
  public long of(String name) {
    return counts.getOrDefault(name, 0L);
  }

  /** Returns all counts in the order of their names. */
  public Map<String, Long> all() {
    return Map.copyOf(counts);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    counts.forEach((name, count) -> text.append(name).append('=').append(count).append(' '));
    return text.toString().trim();
  }
}
