package org.basilport.bench.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts and violations of a run of real processes; may be updated from any thread. */
public final class ProcessFaultReport {
  private final Map<String, Long> counts = new TreeMap<>();
  private final List<String> violations = Collections.synchronizedList(new ArrayList<>());

  ProcessFaultReport() {}

  synchronized void count(String what) {
    count(what, 1);
  }

  synchronized void count(String what, long number) {
    counts.merge(what, number, Long::sum);
  }

  synchronized void largest(String what, long value) {
    counts.merge(what, value, Math::max);
  }

  void violation(String text) {
    violations.add(text);
  }

  /** Broken guarantees, empty when all held. */
  public List<String> violations() {
    return List.copyOf(violations);
  }

  /** A count, 0 when nothing was counted. */
  public synchronized long countOf(String what) {
    return counts.getOrDefault(what, 0L);
  }

  /** Counts by name. */
  public synchronized Map<String, Long> counts() {
    return new TreeMap<>(counts);
  }
}
