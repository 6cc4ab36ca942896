package org.basilport.claim;

import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/** The right of one attempt to send a request; safe to use from any thread. */
final class ClaimTicket {
  private enum State {
    HELD,
    SENT,
    RELEASED
  }

  private final RequestKey key;
  private final String attemptId;
  private final EventSink events;
  private State state = State.HELD;

  ClaimTicket(RequestKey key, String attemptId, EventSink events) {
    this.key = key;
    this.attemptId = attemptId;
    this.events = events;
  }

  RequestKey key() {
    return key;
  }

  String attemptId() {
    return attemptId;
  }

  /** The request goes to a backend server now. */
  synchronized void send() {
    Invariant.check(state == State.HELD, events, "sent only under a held claim", attemptId);
    state = State.SENT;
  }

  /** No byte reached the backend server, so the request may be sent again. */
  synchronized void notSent() {
    Invariant.check(state == State.SENT, events, "taken back only after sending", attemptId);
    state = State.HELD;
  }

  /** The request will never be sent under this claim. */
  synchronized void release() {
    Invariant.check(state == State.HELD, events, "released only unsent", attemptId);
    state = State.RELEASED;
  }
}
