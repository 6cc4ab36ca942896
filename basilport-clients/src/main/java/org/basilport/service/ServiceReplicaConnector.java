package org.basilport.service;

/** Creates clients of replicas of application services by address. */
@FunctionalInterface
public interface ServiceReplicaConnector {

  /**
   * Returns a client of the replica at an IP address and port; connects only with the first
   * request.
   */
  ServiceReplica connect(String address);
}
