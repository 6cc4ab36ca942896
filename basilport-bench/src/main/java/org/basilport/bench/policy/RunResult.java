package org.basilport.bench.policy;

import java.util.EnumMap;
import java.util.Map;

/** Values of all measures of one run. */
public final class RunResult {
  private final Map<Measure, Double> values = new EnumMap<>(Measure.class);

  void put(Measure measure, double value) {
    values.put(measure, value);
  }

  /** Returns the value of a measure, 0 when it was not recorded. */
  public double value(Measure measure) {
    return values.getOrDefault(measure, 0.0);
  }
}
