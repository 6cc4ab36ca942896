package org.basilport.order;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.basilport.backend.BackendServer;

/** How far an engine is from its target. */
final class EngineProgress {
  BackendServer server;
  SortedSet<String> target = new TreeSet<>();
  Set<String> loaded = Set.of();

  /** Models for which a fetch was reserved that no order has used yet. */
  final Set<String> reserved = new HashSet<>();

  boolean busy;
  boolean reached;
  int attempts;
  long notBefore;

  /** Token of the latest order when it is unknown whether the engine took it, else 0. */
  long unansweredToken;

  EngineProgress(BackendServer server, long nowNanos) {
    this.server = server;
    this.notBefore = nowNanos;
  }

  /** Takes over what a plan and a report say. */
  void update(
      BackendServer current, SortedSet<String> planned, Set<String> reported, long nowNanos) {
    server = current;
    target = planned;
    loaded = reported;
    reached = planned.equals(reported);
    if (reached) {
      attempts = 0;
      // A late old order can undo the target from now on, and is then corrected without a wait.
      notBefore = nowNanos;
    }
  }

  /** Models of the target that the engine has to fetch. */
  SortedSet<String> missing() {
    SortedSet<String> missing = new TreeSet<>(target);
    missing.removeAll(loaded);
    return missing;
  }

  OrderStatus.Pending describe() {
    return new OrderStatus.Pending(server.id(), List.copyOf(target), attempts);
  }
}
