package org.basilport.bench.policy;

import org.basilport.policy.GenerationClass;
import org.basilport.policy.WorkItem;

/** State of one generation in a simulation. */
final class Generation {
  static final long NEVER = -1;

  final Arrival arrival;
  final WorkItem item;
  int priority;
  long order;
  long generated;
  long prefillRemaining;
  long firstTokenNanos = NEVER;
  long lastTokenNanos = NEVER;
  long chargedNanos;
  long delivered;
  final int streamed;
  int preemptions;

  Generation(Arrival arrival, WorkItem item) {
    this.arrival = arrival;
    this.item = item;
    this.streamed = item.generationClass() == GenerationClass.STREAMED ? 1 : 0;
  }

  long held() {
    return item.promptTokens() + generated;
  }

  boolean done() {
    return generated >= arrival.length();
  }
}
