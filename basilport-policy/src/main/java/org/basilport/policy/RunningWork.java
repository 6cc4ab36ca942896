package org.basilport.policy;

import org.basilport.policy.admission.MemoryForecast;
import org.basilport.policy.admission.ReplicaLedger;
import org.basilport.policy.fairness.WorkspaceAccount;
import org.basilport.policy.length.LengthDistribution;

/** A generation that runs on a replica. */
final class RunningWork {
  final WorkItem item;
  final ReplicaLedger ledger;
  final WorkspaceAccount account;
  final LengthDistribution lengths;
  final MemoryForecast forecast = new MemoryForecast();
  double charged;
  double served;
  long generated;
  long observed = -1;
  long lastNanos;

  RunningWork(
      WorkItem item,
      ReplicaLedger ledger,
      WorkspaceAccount account,
      LengthDistribution lengths,
      long nowNanos) {
    this.item = item;
    this.ledger = ledger;
    this.account = account;
    this.lengths = lengths;
    this.lastNanos = nowNanos;
  }
}
