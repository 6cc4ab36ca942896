package org.basilport.peer;

/** Connects to other instances. */
@FunctionalInterface
public interface PeerConnector {

  /** Returns a client of the instance at an IP address and port; connections are shared. */
  PeerClient connect(String peerAddress);
}
