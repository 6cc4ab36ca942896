package org.basilport.peer;

import org.basilport.protocol.GossipMessage;

/** A component whose state travels with gossip; called on the control thread only. */
public interface GossipParticipant {

  /** Adds what this component wants to tell to an outgoing message. */
  void contribute(GossipMessage.Builder message);

  /**
   * Adds the most important of what this component wants to tell.
   *
   * @param roomBytes how much the message may grow; by default the component has its own bound
   */
  default void contribute(GossipMessage.Builder message, int roomBytes) {
    contribute(message);
  }

  /** Takes over what another instance told. */
  void receive(GossipMessage message);
}
