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
 * Records of backend servers with the rules for leaving and death; control thread only.
 *
 * <p>A leaving mark belongs to an incarnation and outlives the record, so a late message cannot
 * make the incarnation a candidate again. A server is dead when its connections were refused and a
 * new incarnation or the removal from the instance list follows; a stalled link alone proves
 * nothing, and an announced leaving does not count.
 */
final class BackendRegistry {
  private static final Duration REFUSAL_VALID = Duration.ofMinutes(2);
  private static final Duration MARK_KEPT = Duration.ofMinutes(10);

  private final Scheduler control;
  private final EventSink events;
  private final List<BackendListener> listeners = new ArrayList<>();
  private final Map<String, BackendRecord> records = new LinkedHashMap<>();
  private final Map<String, Mark> leaving = new HashMap<>();
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

  /** Whether an incarnation was ever told to be leaving. */
  boolean markedLeaving(BackendServer server) {
    Mark mark = leaving.get(server.id());
    return mark != null && mark.incarnation >= server.incarnation();
  }

  /** Learns of a server; a smaller incarnation than the known one is ignored. */
  Optional<BackendRecord> learn(BackendServer server, long listedAtMillis, String source) {
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
    known.listed(listedAtMillis);
    if (server.leaving()) {
      markLeaving(server.id(), server.incarnation(), source);
    }
    return Optional.of(known);
  }

  /** Marks an incarnation, and thereby all earlier ones, as leaving for good. */
  void markLeaving(String id, long incarnation, String source) {
    Mark mark = leaving.get(id);
    if (mark == null || mark.incarnation < incarnation) {
      leaving.put(id, new Mark(incarnation, control.nanoTime()));
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

  /** Connections to an incarnation were refused. */
  void refused(BackendRecord record) {
    record.refused(true);
    BackendServer server = record.server();
    refusals.put(server.id(), new Mark(server.incarnation(), control.nanoTime()));
  }

  /** A server answered, so earlier refusals prove nothing. */
  void answered(BackendRecord record) {
    record.refused(false);
    refusals.remove(record.server().id());
  }

  /** Removes a server that an instance list read at a time did not show any more. */
  void removeListed(BackendRecord record, long listMillis) {
    BackendServer server = record.server();
    removals.put(server.id(), new Removal(server.incarnation(), listMillis, control.nanoTime()));
    remove(record);
  }

  /** Whether an incarnation was removed by a later list than the one that showed it. */
  boolean removed(String id, long incarnation, long listedAtMillis) {
    Removal removal = removals.get(id);
    return removal != null
        && removal.incarnation >= incarnation
        && removal.listMillis >= listedAtMillis;
  }

  /** Forgets marks that are too old to matter. */
  void expire() {
    long now = control.nanoTime();
    removals.values().removeIf(removal -> now - removal.at > MARK_KEPT.toNanos());
    refusals.values().removeIf(mark -> now - mark.at > REFUSAL_VALID.toNanos());
    leaving
        .entrySet()
        .removeIf(
            mark ->
                !records.containsKey(mark.getKey())
                    && now - mark.getValue().at > MARK_KEPT.toNanos());
  }

  void reported(BackendRecord record) {
    record
        .report()
        .ifPresent(
            report ->
                listeners.forEach(listener -> listener.onLoadReport(record.server(), report)));
  }

  private Optional<BackendRecord> add(BackendServer server, long listedAtMillis, String source) {
    BackendServer plain =
        new BackendServer(
            server.id(),
            server.incarnation(),
            server.service(),
            server.region(),
            server.dataCentre(),
            server.address(),
            false);
    BackendRecord record = new BackendRecord(plain, listedAtMillis);
    records.put(server.id(), record);
    events.record(
        EventType.BACKEND_ADDED,
        EventSubject.server(server.id()),
        server.id(),
        server.incarnation());
    if (server.leaving() || markedLeaving(server)) {
      markLeaving(server.id(), server.incarnation(), source);
    }
    return Optional.of(record);
  }

  private void remove(BackendRecord record) {
    BackendServer server = record.server();
    records.remove(server.id());
    Mark refusal = refusals.remove(server.id());
    if (refusal != null && refusal.incarnation == server.incarnation() && !server.leaving()) {
      listeners.forEach(listener -> listener.onDeath(server));
    }
  }

  private record Removal(long incarnation, long listMillis, long at) {}

  private record Mark(long incarnation, long at) {}
}
