package org.basilport.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.misc.Scheduler;

/**
 * Records of backend servers and the rules for departures and crashes; control thread only.
 *
 * <p>A leaving mark belongs to an incarnation and outlives its record, so that a delayed message
 * cannot make the incarnation a candidate again. A server has crashed if its connections were
 * refused and then a new incarnation appears or the instance directory drops the server. A hanging
 * connection alone is no proof of a crash, and the end of a leaving server is not a crash.
 */
final class BackendRegistry {
  private static final Duration REFUSAL_VALIDITY = Duration.ofMinutes(2);
  private static final Duration MARK_RETENTION = Duration.ofMinutes(10);

  private final Scheduler control;
  private final EventSink events;
  private final List<BackendListener> listeners = new ArrayList<>();
  private final Map<String, BackendRecord> records = new LinkedHashMap<>();
  private final Map<String, Mark> leavingMarks = new HashMap<>();
  private final Map<String, Mark> refusals = new HashMap<>();
  private final Map<String, Removal> removals = new HashMap<>();

  BackendRegistry(Scheduler control, EventSink events) {
    this.control = control;
    this.events = events;
  }

  void addListener(BackendListener listener) {
    listeners.add(listener);
  }

  Collection<BackendRecord> records() {
    return records.values();
  }

  Optional<BackendRecord> find(String id) {
    return Optional.ofNullable(records.get(id));
  }

  /** Returns whether an incarnation was ever announced as leaving. */
  boolean isMarkedLeaving(BackendServer server) {
    Mark mark = leavingMarks.get(server.id());
    return mark != null && mark.incarnation >= server.incarnation();
  }

  /**
   * Adds or updates a server; an incarnation smaller than the known one is ignored.
   *
   * @param source origin of the information, for the timeline
   * @return the record of the server, empty if the information was ignored
   */
  Optional<BackendRecord> merge(BackendServer server, long listedAtMillis, String source) {
    BackendRecord known = records.get(server.id());
    if (known == null) {
      return add(server, listedAtMillis, source);
    }
    if (server.incarnation() < known.server().incarnation()) {
      return Optional.empty();
    }
    if (server.incarnation() > known.server().incarnation()) {
      remove(known);
      return add(server, listedAtMillis, source);
    }
    known.recordListed(listedAtMillis);
    if (server.leaving()) {
      markLeaving(server.id(), server.incarnation(), source);
    }
    return Optional.of(known);
  }

  /** Marks an incarnation and all earlier ones as leaving; the mark is permanent. */
  void markLeaving(String id, long incarnation, String source) {
    Mark mark = leavingMarks.get(id);
    if (mark == null || mark.incarnation < incarnation) {
      leavingMarks.put(id, new Mark(incarnation, control.nanoTime()));
    }
    BackendRecord record = records.get(id);
    if (record != null
        && record.server().incarnation() <= incarnation
        && !record.server().leaving()) {
      record.markLeaving();
      events.record(EventType.BACKEND_LEAVING, EventSubject.server(id), id, source);
      listeners.forEach(listener -> listener.onLeaving(record.server()));
    }
  }

  /** Records that connections to an incarnation were refused. */
  void recordRefusal(BackendRecord record) {
    record.refused(true);
    BackendServer server = record.server();
    refusals.put(server.id(), new Mark(server.incarnation(), control.nanoTime()));
  }

  /** Clears earlier refusals after a server responded; they no longer indicate a crash. */
  void clearRefusal(BackendRecord record) {
    record.refused(false);
    refusals.remove(record.server().id());
  }

  /** Removes a server that is missing from the instance list read at a time. */
  void removeUnlisted(BackendRecord record, long listReadMillis) {
    BackendServer server = record.server();
    removals.put(
        server.id(), new Removal(server.incarnation(), listReadMillis, control.nanoTime()));
    remove(record);
  }

  /** Returns whether a later list than the one that had the incarnation removed it. */
  boolean isRemoved(String id, long incarnation, long listedAtMillis) {
    Removal removal = removals.get(id);
    return removal != null
        && removal.incarnation >= incarnation
        && removal.listReadMillis >= listedAtMillis;
  }

  /** Removes expired marks, refusals and removals. */
  void expire() {
    long now = control.nanoTime();
    removals.values().removeIf(removal -> now - removal.recordedNanos > MARK_RETENTION.toNanos());
    refusals.values().removeIf(mark -> now - mark.recordedNanos > REFUSAL_VALIDITY.toNanos());
    leavingMarks
        .entrySet()
        .removeIf(
            mark ->
                !records.containsKey(mark.getKey())
                    && now - mark.getValue().recordedNanos > MARK_RETENTION.toNanos());
  }

  void notifyReport(BackendRecord record) {
    record
        .report()
        .ifPresent(
            report ->
                listeners.forEach(listener -> listener.onLoadReport(record.server(), report)));
  }

  private Optional<BackendRecord> add(BackendServer server, long listedAtMillis, String source) {
    BackendServer unmarked =
        new BackendServer(
            server.id(),
            server.incarnation(),
            server.service(),
            server.region(),
            server.dataCentre(),
            server.address(),
            false);
    BackendRecord record = new BackendRecord(unmarked, listedAtMillis);
    records.put(server.id(), record);
    events.record(
        EventType.BACKEND_ADDED,
        EventSubject.server(server.id()),
        server.id(),
        server.incarnation());
    if (server.leaving() || isMarkedLeaving(server)) {
      markLeaving(server.id(), server.incarnation(), source);
    }
    return Optional.of(record);
  }

  private void remove(BackendRecord record) {
    BackendServer server = record.server();
    records.remove(server.id());
    Mark refusal = refusals.remove(server.id());
    if (refusal != null && refusal.incarnation == server.incarnation() && !server.leaving()) {
      listeners.forEach(listener -> listener.onCrash(server));
    }
  }

  private record Removal(long incarnation, long listReadMillis, long recordedNanos) {}

  private record Mark(long incarnation, long recordedNanos) {}
}
