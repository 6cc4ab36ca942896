package org.basilport.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.event.EventSink;
import org.basilport.event.HybridLogicalClock;
import org.basilport.misc.Deadline;
import org.basilport.misc.Scheduler;
import org.basilport.protocol.GossipMessage;

/** Exchanges gossip messages with peers on behalf of the participants; control thread only. */
public final class GossipExchange {
  private static final Duration CALL_LIMIT = Duration.ofSeconds(1);

  private final String selfId;
  private final HybridLogicalClock clock;
  private final PeerConnector peers;
  private final Scheduler control;
  private final GossipBudget budget;
  private final List<GossipParticipant> participants = new ArrayList<>();
  private long lastHeard;
  private boolean heard;

  /** Creates an exchange without participants. */
  public GossipExchange(
      String selfId,
      HybridLogicalClock clock,
      PeerConnector peers,
      Scheduler control,
      EventSink events) {
    this.selfId = selfId;
    this.clock = clock;
    this.peers = peers;
    this.control = control;
    this.budget = new GossipBudget(events, control.nanoTime());
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

  /**
   * Takes over a peer's message and returns the answer. Fails with NOT_RUN when the answer would
   * exceed the limit of this instance's gossip; what the peer told was taken over nevertheless.
   */
  public GossipMessage answer(GossipMessage message) {
    receive(message);
    if (budget.overdrawn(control.nanoTime())) {
      throw new RejectedException(
          FailureCode.OVER_LIMIT, Step.PEER, selfId + " has sent too much gossip");
    }
    return message();
  }

  private void exchangeWith(String address) {
    if (budget.spent(control.nanoTime())) {
      return;
    }
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
    long now = control.nanoTime();
    int room = budget.room(now);
    for (GossipParticipant participant : participants) {
      int size = message.buildPartial().getSerializedSize();
      participant.contribute(message, Math.max(0, room - size));
    }
    GossipMessage complete = message.build();
    budget.sent(complete.getSerializedSize(), now);
    return complete;
  }

  private void receive(GossipMessage message) {
    clock.observe(message.getHybridTime());
    lastHeard = control.nanoTime();
    heard = true;
    participants.forEach(participant -> participant.receive(message));
  }
}
