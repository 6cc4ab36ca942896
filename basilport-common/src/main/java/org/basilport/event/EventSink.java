package org.basilport.event;

/** Receives events; safe to call from any thread. */
public interface EventSink {

  /** Records an event; the arguments fill the template of its type. */
  void record(EventType type, EventSubject subject, Object... arguments);

  /** A sink that drops all events. */
  static EventSink none() {
    return (type, subject, arguments) -> {};
  }
}
