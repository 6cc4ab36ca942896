package org.basilport.peer;

import org.basilport.protocol.GossipMessage;

/** Component that spreads its state by gossip; called on the control thread only. */
public interface GossipParticipant {

  /**
   * Adds the most important state of this component to a message.
   *
   * @param maxBytes size by which the message may grow, in bytes
   */
  void contribute(GossipMessage.Builder message, int maxBytes);

  /** Applies a message from another instance. */
  void receive(GossipMessage message);
}
