package org.basilport.policy;

/**
 * A replica in a lagging report.
 *
 * @param serverId id of the backend server
 * @param sameDataCentre whether the replica is in this instance's data centre
 * @param capacityTokens size of the key-value memory, in tokens
 * @param usedTokens key-value memory in use, in tokens
 * @param waiting generations that wait at the engine
 * @param running generations that run at the engine
 * @param medianTokenMillis recent median time between tokens, in milliseconds
 * @param reportedAtNanos monotonic time at which the report arrived, in nanoseconds
 * @param measuredAtNanos monotonic time of this process at which the engine took the report, as far
 *     as it is known, in nanoseconds
 */
public record ReplicaState(
    String serverId,
    boolean sameDataCentre,
    long capacityTokens,
    long usedTokens,
    int waiting,
    int running,
    double medianTokenMillis,
    long reportedAtNanos,
    long measuredAtNanos) {

  /** Creates a state whose report is taken to be as old as its arrival. */
  public ReplicaState(
      String serverId,
      boolean sameDataCentre,
      long capacityTokens,
      long usedTokens,
      int waiting,
      int running,
      double medianTokenMillis,
      long reportedAtNanos) {
    this(
        serverId,
        sameDataCentre,
        capacityTokens,
        usedTokens,
        waiting,
        running,
        medianTokenMillis,
        reportedAtNanos,
        reportedAtNanos);
  }
}
