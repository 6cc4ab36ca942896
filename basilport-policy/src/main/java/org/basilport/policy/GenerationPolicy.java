package org.basilport.policy;

import java.util.List;

/**
 * Decides which queued generation starts, on which replica and with which priority.
 *
 * <p>Each model service has one policy object per instance. Implementations are not thread-safe and
 * do no I/O. The caller submits generations, reports replica states and the progress of running
 * generations, and requests placements after each change and at least every 20 ms while generations
 * wait.
 */
public interface GenerationPolicy {

  /** Adds a generation to the queue. Returns false, without adding it, when the queue is full. */
  boolean submit(WorkItem item, long nowNanos);

  /** Removes a queued generation. Returns false when it is not queued. */
  boolean withdraw(String requestId);

  /** Returns the generations that start now; each counts as running until {@link #finished}. */
  List<Placement> place(long nowNanos);

  /**
   * Reports progress of a running generation.
   *
   * @param generatedTokens tokens generated so far
   */
  void progressed(String requestId, long generatedTokens, long nowNanos);

  /**
   * Reports that a running generation ended.
   *
   * @param generatedTokens tokens generated in total
   * @param completed whether the output has its natural length; only then is it used as a sample of
   *     output lengths
   */
  void finished(String requestId, long generatedTokens, boolean completed, long nowNanos);

  /** Reports that the engine preempted a running generation, which it will continue later. */
  default void preempted(String requestId, long nowNanos) {}

  /**
   * Reports that a prompt prefix entered or left the prefix cache of a replica.
   *
   * @param present whether the prefix is now in the cache
   */
  default void prefixCacheChanged(String serverId, long prefixHash, boolean present) {}

  /**
   * Replaces the replicas that may receive new generations, with their latest reports.
   *
   * @param placingInstances number of instances that place generations on these replicas
   */
  void updateReplicas(List<ReplicaState> replicas, int placingInstances, long nowNanos);

  /** Number of queued generations. */
  int queuedCount();

  /** Delay after which a rejected caller may retry, in milliseconds. */
  long retryAfterMillis();
}
