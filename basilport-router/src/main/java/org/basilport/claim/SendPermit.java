package org.basilport.claim;

import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/** Permits one attempt to send a request while it holds the claim; safe to use from any thread. */
final class SendPermit {
  private enum State {
    HELD,
    SENT,
    RELEASED
  }

  private final RequestKey key;
  private final String attemptId;
  private final EventSink events;
  private State state = State.HELD;

  SendPermit(RequestKey key, String attemptId, EventSink events) {
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

  /** Records that the request is being sent. */
  synchronized void recordSend() {
    Invariant.check(state == State.HELD, events, "sent only under a held claim", attemptId);
    state = State.SENT;
  }

  /** Records that no byte reached the backend server, so that the request may be sent again. */
  synchronized void undoSend() {
    Invariant.check(state == State.SENT, events, "taken back only after sending", attemptId);
    state = State.HELD;
  }

  /** Records that the request will never be sent under this claim. */
  synchronized void release() {
    Invariant.check(state == State.HELD, events, "released only unsent", attemptId);
    state = State.RELEASED;
  }
}
