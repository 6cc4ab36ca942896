package org.basilport.bench.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Thread-safe counters and violations of a fault run with real processes. */
public final class ProcessFaultReport {
  private final Map<String, Long> counts = new TreeMap<>();
  private final List<String> violations = Collections.synchronizedList(new ArrayList<>());

  ProcessFaultReport() {}

  synchronized void count(String name) {
    count(name, 1);
  }

  synchronized void count(String name, long amount) {
    counts.merge(name, amount, Long::sum);
  }

  synchronized void recordMaximum(String name, long value) {
    counts.merge(name, value, Math::max);
  }

  void addViolation(String text) {
    violations.add(text);
  }

  /** Returns the violated guarantees, one text each, with the guarantee code where it has one. */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns the value of a counter, 0 when it was never incremented. */
  public synchronized long countOf(String name) {
    return counts.getOrDefault(name, 0L);
  }

  /** Returns the values of all counters, sorted by name. */
  public synchronized Map<String, Long> counts() {
    return new TreeMap<>(counts);
  }
}
