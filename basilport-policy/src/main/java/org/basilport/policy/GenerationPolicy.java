package org.basilport.policy;

import java.util.List;

/**
 * Decides which waiting generation runs where and with which priority.
 *
 * <p>One object serves one model service on one instance. It is not safe for use by several threads
 * and does no I/O. The caller submits work, tells what it learns of replicas and of running work,
 * and asks for placements after each change and at least every 20 ms while work waits.
 */
public interface GenerationPolicy {

  /** Offers work. Returns false when the queue is full; the work was then not taken. */
  boolean submit(WorkItem item, long nowNanos);

  /** Withdraws work that waits. Returns false when it does not wait any more. */
  boolean withdraw(String requestId);

  /** Returns work that starts now; each placement counts as running until {@link #finished}. */
  List<Placement> place(long nowNanos);

  /** Tokens of running work arrived. */
  void progressed(String requestId, long generatedTokens, long nowNanos);

  /**
   * Running work ended, completely or not.
   *
   * @param completed whether the output has its natural length, which feeds the estimates
   */
  void finished(String requestId, long generatedTokens, boolean completed, long nowNanos);

  /** The engine preempted running work, which continues there later. */
  default void preempted(String requestId, long nowNanos) {}

  /** A replica's cache event: the leading part of a prompt entered or left its prefix cache. */
  default void prefixCacheChanged(String serverId, long prefixHash, boolean present) {}

  /** Replaces the set of replicas that may receive new work, with their latest reports. */
  void updateReplicas(List<ReplicaState> replicas, int feedingInstances, long nowNanos);

  /** Number of generations that wait. */
  int waitingCount();

  /** When a refused caller may try again, in milliseconds. */
  long retryAfterMillis();
}
