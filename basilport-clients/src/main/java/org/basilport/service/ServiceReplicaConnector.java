package org.basilport.service;

/** Gives access to the replica of a plain service at an address. */
@FunctionalInterface
public interface ServiceReplicaConnector {

  /** Returns a client of the replica at an IP address and port; opens no connection yet. */
  ServiceReplica connect(String address);
}
