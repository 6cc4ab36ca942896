package org.basilport.bench.policy;

import org.basilport.policy.GenerationClass;
import org.basilport.policy.WorkItem;

/** Mutable state of one generation in a simulation. */
final class Generation {
  static final long NEVER = -1;

  final Arrival arrival;
  final WorkItem item;
  int priority;
  long queueOrder;
  long generatedTokens;
  long remainingPrefillTokens;
  long firstTokenNanos = NEVER;
  long lastTokenNanos = NEVER;
  long lastChargeNanos;
  long deliveredTokens;
  final int streamedCount;
  int preemptions;

  Generation(Arrival arrival, WorkItem item) {
    this.arrival = arrival;
    this.item = item;
    this.streamedCount = item.generationClass() == GenerationClass.STREAMED ? 1 : 0;
  }

  long heldTokens() {
    return item.promptTokens() + generatedTokens;
  }

  boolean complete() {
    return generatedTokens >= arrival.length();
  }
}
