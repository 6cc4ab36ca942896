package org.basilport.policy.routing;

/** What a selector sees of a replica. */
public interface ReplicaLoad {

  /** Id of the backend server. */
  String serverId();

  /** Number of generations that this instance has outstanding on the replica. */
  int outstanding();
}
