package org.basilport.peer;

import org.basilport.protocol.GossipMessage;

/** A component whose state travels with gossip; called on the control thread only. */
public interface GossipParticipant {

  /**
   * Adds the most important of what this component wants to tell.
   *
   * @param roomBytes how much the message should grow at most
   */
  void contribute(GossipMessage.Builder message, int roomBytes);

  /** Takes over what another instance told. */
  void receive(GossipMessage message);
}
