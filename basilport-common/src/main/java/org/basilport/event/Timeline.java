package org.basilport.event;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.ParameterizedMessage;

/** Logs events and keeps the latest ones in a ring buffer. */
public final class Timeline implements EventSink {
  private static final Logger LOG = LogManager.getLogger(Timeline.class);

  private static final int MAX_KEPT_VIOLATIONS = 16;

  private final String instanceId;
  private final HybridLogicalClock clock;
  private final Event[] ring;
  private final List<Event> violations = new ArrayList<>();
  private long recordedCount;

  /** Creates a timeline that keeps the latest {@code capacity} events. */
  public Timeline(String instanceId, HybridLogicalClock clock, int capacity) {
    this.instanceId = instanceId;
    this.clock = clock;
    this.ring = new Event[capacity];
  }

  @Override
  public void record(EventType type, EventSubject subject, Object... arguments) {
    String text = ParameterizedMessage.format(type.template(), arguments);
    Event event = new Event(clock.tick(), instanceId, type, subject, text);
    synchronized (this) {
      ring[(int) (recordedCount % ring.length)] = event;
      recordedCount++;
      if (type == EventType.INVARIANT_VIOLATED && violations.size() < MAX_KEPT_VIOLATIONS) {
        violations.add(event);
      }
    }
    LOG.log(type.level(), "[{}] {} {}", type.number(), instanceId, text);
  }

  /** Returns the newest {@code limit} matching events in the ring buffer, oldest first. */
  public synchronized List<Event> events(Predicate<Event> filter, int limit) {
    List<Event> matching = new ArrayList<>();
    long oldest = Math.max(0, recordedCount - ring.length);
    for (long i = oldest; i < recordedCount; i++) {
      Event event = ring[(int) (i % ring.length)];
      if (filter.test(event)) {
        matching.add(event);
      }
    }
    int from = Math.max(0, matching.size() - limit);
    return List.copyOf(matching.subList(from, matching.size()));
  }

  /**
   * Returns the first violations of invariants since the start, oldest first. They are stored apart
   * from the ring buffer, where later events would overwrite them. The exception alone is not
   * enough, because a callback can lose it.
   */
  public synchronized List<Event> violations() {
    return List.copyOf(violations);
  }

  /** Clock that provides the timestamps of the events. */
  public HybridLogicalClock clock() {
    return clock;
  }
}
