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
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  private final String selfId;
  private final HybridLogicalClock clock;
  private final PeerConnector peers;
  private final Scheduler control;
  private final GossipRateLimiter rateLimiter;
  private final List<GossipParticipant> participants = new ArrayList<>();
  private long lastReceivedNanos;
  private boolean hasReceived;

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
    this.rateLimiter = new GossipRateLimiter(events, control.nanoTime());
  }

  /** Adds a participant; participants are called in the order in which they were added. */
  public void addParticipant(GossipParticipant participant) {
    participants.add(participant);
  }

  /** Returns whether a message from a peer arrived within the given time. */
  public boolean receivedWithin(Duration within) {
    return hasReceived && control.nanoTime() - lastReceivedNanos <= within.toNanos();
  }

  /** Sends a message to each peer and applies the replies. */
  public void exchangeWith(List<String> peerAddresses) {
    peerAddresses.forEach(this::exchangeWith);
  }

  /**
   * Applies a message from a peer and returns the reply. Fails with NOT_RUN if this instance is
   * over its gossip limit; the message has been applied nevertheless.
   */
  public GossipMessage respond(GossipMessage message) {
    receive(message);
    if (rateLimiter.isOverLimit(control.nanoTime())) {
      throw new RejectedException(
          FailureCode.OVER_LIMIT,
          Step.PEER,
          selfId + " has sent too much gossip; the message was applied without a reply");
    }
    return buildMessage();
  }

  private void exchangeWith(String address) {
    if (rateLimiter.isExhausted(control.nanoTime())) {
      return;
    }
    Deadline.limit(
            peers.connect(address).exchange(buildMessage()),
            control,
            CALL_TIMEOUT,
            () -> PeerFailures.timedOut(address))
        .whenCompleteAsync(
            (reply, failure) -> {
              // Missing heartbeats reveal a silent peer, so a failed exchange is ignored.
              if (failure == null) {
                receive(reply);
              }
            },
            control);
  }

  private GossipMessage buildMessage() {
    GossipMessage.Builder message =
        GossipMessage.newBuilder().setSenderId(selfId).setHybridTime(clock.tick());
    long now = control.nanoTime();
    int maxBytes = rateLimiter.maxMessageBytes(now);
    for (GossipParticipant participant : participants) {
      int size = message.buildPartial().getSerializedSize();
      participant.contribute(message, Math.max(0, maxBytes - size));
    }
    GossipMessage complete = message.build();
    rateLimiter.recordSent(complete.getSerializedSize(), now);
    return complete;
  }

  private void receive(GossipMessage message) {
    clock.observe(message.getHybridTime());
    lastReceivedNanos = control.nanoTime();
    hasReceived = true;
    participants.forEach(participant -> participant.receive(message));
  }
}
