package org.basilport.order;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.basilport.backend.BackendServer;

/** The progress of one engine towards its target set of models. */
final class EngineProgress {
  BackendServer server;
  SortedSet<String> target = new TreeSet<>();
  Set<String> loaded = Set.of();

  /** Models whose fetch is reserved but has not been used by an order. */
  final Set<String> reservedModels = new HashSet<>();

  boolean requestInFlight;
  boolean targetReached;
  int attempts;
  long nextOrderNanos;

  /** Token of the latest order if it is unknown whether the engine accepted it, otherwise 0. */
  long unacknowledgedToken;

  EngineProgress(BackendServer server, long nowNanos) {
    this.server = server;
    this.nextOrderNanos = nowNanos;
  }

  /** Updates the target from a plan and the loaded models from a report. */
  void update(
      BackendServer current, SortedSet<String> planned, Set<String> reported, long nowNanos) {
    server = current;
    target = planned;
    loaded = reported;
    targetReached = planned.equals(reported);
    if (targetReached) {
      attempts = 0;
      // If a delayed old order changes the models from now on, correct it without a wait.
      nextOrderNanos = nowNanos;
    }
  }

  /** Returns the models of the target that the engine has not loaded. */
  SortedSet<String> missing() {
    SortedSet<String> missing = new TreeSet<>(target);
    missing.removeAll(loaded);
    return missing;
  }

  OrderStatus.Pending toPending() {
    return new OrderStatus.Pending(server.id(), List.copyOf(target), attempts);
  }
}
