package org.basilport.policy.routing;

/** Load of a replica, as used by selectors. */
public interface ReplicaLoad {

  /** Id of the backend server. */
  String serverId();

  /** Number of outstanding generations of this instance on the replica. */
  int outstanding();

  /** Whether the replica is in the data centre of this instance. */
  boolean sameDataCentre();

  /**
   * Expected use of the key-value memory as a share of its size; above 1 when it would be exceeded.
   */
  double load();

  /** Recent median time between tokens, in milliseconds; 0 when unknown. */
  double medianTokenMillis();
}
