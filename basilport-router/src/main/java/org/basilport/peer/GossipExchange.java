package org.basilport.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.basilport.event.HybridClock;
import org.basilport.misc.Deadline;
import org.basilport.misc.Scheduler;
import org.basilport.protocol.GossipMessage;

/** Exchanges gossip messages with peers on behalf of the participants; control thread only. */
public final class GossipExchange {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(1);

  private final String selfId;
  private final HybridClock clock;
  private final PeerConnector peers;
  private final Scheduler control;
  private final List<GossipParticipant> participants = new ArrayList<>();
  private long lastHeard;
  private boolean heard;

  /** Creates an exchange without participants. */
  public GossipExchange(String selfId, HybridClock clock, PeerConnector peers, Scheduler control) {
    this.selfId = selfId;
    this.clock = clock;
    this.peers = peers;
    this.control = control;
  }

  /** Adds a participant; participants are called in the order in which they were added. */
  public void addParticipant(GossipParticipant participant) {
    participants.add(participant);
  }

  /** Whether a peer was heard within a time. */
  public boolean heardWithin(Duration within) {
    return heard && control.nanoTime() - lastHeard <= within.toNanos();
  }

  /** Sends a message to each peer and takes over the answers. */
  public void exchangeWith(List<String> peerAddresses) {
    peerAddresses.forEach(this::exchangeWith);
  }

  /** Takes over a peer's message and returns the answer. */
  public GossipMessage answer(GossipMessage message) {
    receive(message);
    return message();
  }

  private void exchangeWith(String address) {
    Deadline.limit(
            peers.connect(address).exchange(message()),
            control,
            CALL_LIMIT,
            () -> PeerFailures.timedOut(address))
        .whenCompleteAsync(
            (reply, failure) -> {
              // Silence shows in the heartbeats, so a failed exchange needs no other handling.
              if (failure == null) {
                receive(reply);
              }
            },
            control);
  }

  private GossipMessage message() {
    GossipMessage.Builder message =
        GossipMessage.newBuilder().setSenderId(selfId).setHybridTime(clock.tick());
    participants.forEach(participant -> participant.contribute(message));
    return message.build();
  }

  private void receive(GossipMessage message) {
    clock.observe(message.getHybridTime());
    lastHeard = control.nanoTime();
    heard = true;
    participants.forEach(participant -> participant.receive(message));
  }
}
