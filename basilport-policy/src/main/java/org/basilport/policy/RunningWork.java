package org.basilport.policy;

import org.basilport.policy.admission.MemoryForecast;
import org.basilport.policy.admission.ReplicaMemoryTracker;
import org.basilport.policy.fairness.WorkspaceAccount;
import org.basilport.policy.length.LengthDistribution;

/** A generation that is running on a replica, with what it was charged so far. */
final class RunningWork {
  final WorkItem item;
  final ReplicaMemoryTracker replica;
  final WorkspaceAccount account;
  final LengthDistribution lengthDistribution;
  final MemoryForecast forecast = new MemoryForecast();

  /** Service charged to the workspace so far, in output tokens; at first the expected service. */
  double chargedService;

  /** Service used so far, in output tokens. */
  double actualService;

  /** Tokens that were generated at the last charge. */
  long generatedTokens;

  /** Tokens that were generated at the last update of the forecast; -1 before the first one. */
  long observedTokens = -1;

  /** Monotonic time of the last charge, in nanoseconds. */
  long chargedAtNanos;

  RunningWork(
      WorkItem item,
      ReplicaMemoryTracker replica,
      WorkspaceAccount account,
      LengthDistribution lengthDistribution,
      long nowNanos) {
    this.item = item;
    this.replica = replica;
    this.account = account;
    this.lengthDistribution = lengthDistribution;
    this.chargedAtNanos = nowNanos;
  }
}
