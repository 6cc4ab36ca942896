package org.basilport.policy;

/**
 * State of a replica according to its latest report, which may be out of date.
 *
 * @param serverId id of the backend server
 * @param sameDataCentre whether the replica is in the data centre of this instance
 * @param capacityTokens size of the key-value memory, in tokens
 * @param usedTokens key-value memory in use, in tokens
 * @param waiting number of generations in the engine's queue
 * @param running number of generations that the engine is running
 * @param medianTokenMillis recent median time between tokens, in milliseconds
 * @param reportedAtNanos monotonic time at which the report arrived, in nanoseconds
 * @param measuredAtNanos estimated monotonic time, on the clock of this process, at which the
 *     engine took the measurement, in nanoseconds
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

  /** Creates a state that was measured at the time at which its report arrived. */
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
