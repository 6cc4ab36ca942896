package org.basilport.policy.routing;

/** What a selector sees of a replica. */
public interface ReplicaLoad {

  /** Id of the backend server. */
  String serverId();

  /** Number of generations that this instance has outstanding on the replica. */
  int outstanding();

  /** Whether the replica is in this instance's data centre. */
  boolean sameDataCentre();

  /** Expected use of the key-value memory, as a share of its size; above 1 when overfull. */
  double load();

  /** Recent median time between tokens, in milliseconds; 0 when unknown. */
  double medianTokenMillis();
}
