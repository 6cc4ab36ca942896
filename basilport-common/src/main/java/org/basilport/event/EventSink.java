package org.basilport.event;

/** Receiver of events; implementations are thread-safe. */
public interface EventSink {

  /** Records an event. The arguments replace the placeholders in the template of its type. */
  void record(EventType type, EventSubject subject, Object... arguments);

  /** Returns a sink that discards all events. */
  static EventSink none() {
    return (type, subject, arguments) -> {};
  }
}
