package org.basilport.standin.service;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Fault injection for one replica; every setting can be changed at any time from any thread. */
public final class ServiceFaults {
  private final SplittableRandom random;
  private final Map<ServiceFault, Double> probabilities = new EnumMap<>(ServiceFault.class);
  private final Deque<ServiceFault> plannedFaults = new ArrayDeque<>();
  private Duration additionalExecutionTime = Duration.ZERO;
  private String crashMarker = "";

  ServiceFaults(SplittableRandom random) {
    this.random = random;
  }

  /** Injects a fault into calls with a probability from 0 to 1. */
  public synchronized void probability(ServiceFault fault, double probability) {
    probabilities.put(fault, probability);
  }

  /** Injects a fault into the first of the next calls that has no planned fault yet. */
  public synchronized void failNext(ServiceFault fault) {
    plannedFaults.add(fault);
  }

  /** Sets additional execution time, zero for none. */
  public synchronized void additionalExecutionTime(Duration value) {
    additionalExecutionTime = value;
  }

  /** Crashes the replica when it runs a body that contains the marker; empty disables this. */
  public synchronized void crashMarker(String marker) {
    crashMarker = marker;
  }

  synchronized Duration additionalExecutionTime() {
    return additionalExecutionTime;
  }

  synchronized boolean crashesOn(String body) {
    return !crashMarker.isEmpty() && body.contains(crashMarker);
  }

  synchronized Optional<ServiceFault> nextFault() {
    if (!plannedFaults.isEmpty()) {
      return Optional.of(plannedFaults.remove());
    }
    double sample = probabilities.isEmpty() ? 1 : random.nextDouble();
    for (Map.Entry<ServiceFault, Double> entry : probabilities.entrySet()) {
      sample -= entry.getValue();
      if (sample < 0) {
        return Optional.of(entry.getKey());
      }
    }
    return Optional.empty();
  }
}
