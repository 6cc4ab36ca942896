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
  double chargedService;
  double actualService;
  long generatedTokens;
  long observedTokens = -1;
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
