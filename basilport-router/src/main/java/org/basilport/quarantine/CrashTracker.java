package org.basilport.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.basilport.backend.BackendListener;
import org.basilport.backend.BackendServer;
import org.basilport.engine.EngineReport;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.misc.Scheduler;
import org.basilport.peer.GossipParticipant;
import org.basilport.protocol.GossipMessage;
import org.basilport.protocol.SuspicionEntry;

/**
 * Finds requests that crash backend servers; safe to use from any thread.
 *
 * <p>When a backend server dies, each request in flight at that incarnation becomes a suspect and
 * runs in isolation from then on. A lost connection makes a request a suspect on all instances for
 * a short time even before the death is known, since a retry elsewhere would otherwise crash the
 * next server.
 */
public final class CrashTracker implements BackendListener, GossipParticipant {
  /** How long a request stays a suspect after the last death. */
  static final Duration SUSPICION = Duration.ofMinutes(10);

  /** How long a quarantined request is refused. */
  static final Duration QUARANTINE = Duration.ofHours(1);

  /** How long a lost connection may wait for news of the backend server. */
  static final Duration DEATH_NEWS = Duration.ofSeconds(15);

  private static final int MAX_RECORDS = 10_000;

  private final Scheduler control;
  private final EventSink events;
  private final IsolationSlots slots;
  private final Runnable gossipSoon;
  private final Map<String, SuspicionRecord> records = new HashMap<>();
  private final Map<String, List<Flight>> flights = new HashMap<>();
  private Consumer<List<SuspicionEntry>> onQuarantine = entries -> {};

  /**
   * Creates a tracker.
   *
   * @param slots the slots that this instance grants; a holder that dies with its suspect cannot
   *     tell of the loss, and the slot is then all that is known
   * @param gossipSoon asks for gossip before the next round
   */
  public CrashTracker(
      Scheduler control, EventSink events, IsolationSlots slots, Runnable gossipSoon) {
    this.control = control;
    this.events = events;
    this.slots = slots;
    this.gossipSoon = gossipSoon;
  }

  /** Sets what runs with all quarantined fingerprints after a new one was added. */
  public synchronized void onQuarantine(Consumer<List<SuspicionEntry>> action) {
    onQuarantine = action;
  }

  /** Tells how a request may run. */
  public synchronized Verdict verdict(String fingerprint) {
    SuspicionRecord suspicion = records.get(fingerprint);
    return suspicion == null ? Verdict.CLEAR : suspicion.verdict(nowMillis(), explained());
  }

  /** Notes that a backend server receives a request now. */
  public synchronized RequestFlight begin(
      String fingerprint, BackendServer server, boolean isolated) {
    Flight flight = new Flight(fingerprint, deathId(server), isolated);
    flights.computeIfAbsent(flight.deathId, id -> new ArrayList<>()).add(flight);
    return flight;
  }

  @Override
  public synchronized void onDeath(BackendServer server) {
    String deathId = deathId(server);
    List<Flight> victims = flights.getOrDefault(deathId, List.of());
    flights.remove(deathId);
    events.record(
        EventType.BACKEND_DEAD, EventSubject.server(server.id()), server.id(), victims.size());
    Map<String, Boolean> suspects = suspects(server, victims);
    long isolated = suspects.values().stream().filter(alone -> alone).count();
    suspects.forEach(
        (fingerprint, inIsolation) -> {
          SuspicionRecord suspicion = suspicion(fingerprint);
          boolean alone = inIsolation && isolated == 1;
          long expiry = nowMillis() + SUSPICION.toMillis();
          if (suspicion.addDeath(deathId, alone, expiry)) {
            record(EventType.REQUEST_SUSPECTED, fingerprint, suspicion.deathCount());
          }
          if (suspicion.provesGuilt(explained())) {
            quarantine(fingerprint, suspicion);
          }
        });
    if (!suspects.isEmpty()) {
      gossipSoon.run();
    }
  }

  @Override
  public synchronized void onLoadReport(BackendServer server, EngineReport report) {
    // A report of the same incarnation shows that a lost connection was no death.
    if (report.incarnation() == server.incarnation()) {
      String deathId = deathId(server);
      records.values().forEach(suspicion -> suspicion.resolve(deathId));
      List<Flight> atServer = flights.get(deathId);
      if (atServer != null) {
        atServer.removeIf(flight -> flight.lost);
      }
    }
  }

  @Override
  public synchronized void contribute(GossipMessage.Builder message, int roomBytes) {
    long now = nowMillis();
    records.values().removeIf(suspicion -> suspicion.expired(now));
    message.addAllSuspicions(SuspicionNews.select(records.values(), roomBytes));
  }

  @Override
  public synchronized void receive(GossipMessage message) {
    learn(message.getSuspicionsList());
  }

  /** Takes over entries from gossip or from the platform. */
  public synchronized void learn(List<SuspicionEntry> entries) {
    long now = nowMillis();
    boolean changed = false;
    for (SuspicionEntry entry : entries) {
      if (entry.getExpiresAtMillis() > now) {
        SuspicionRecord suspicion = suspicion(entry.getFingerprint());
        changed |= suspicion.merge(entry, now);
        if (suspicion.provesGuilt(explained())) {
          quarantine(entry.getFingerprint(), suspicion);
        }
      }
    }
    if (changed) {
      gossipSoon.run();
    }
  }

  /**
   * Returns the requests that were in flight at a death, and whether each ran in isolation. Those
   * of other instances are known by their losses: the instance that saw a loss may be replaced
   * before the death is known, and nobody else would count it.
   */
  private Map<String, Boolean> suspects(BackendServer server, List<Flight> victims) {
    String deathId = deathId(server);
    Map<String, Boolean> suspects = new LinkedHashMap<>();
    victims.forEach(
        victim -> suspects.merge(victim.fingerprint, victim.isolated, Boolean::logicalOr));
    records.forEach(
        (fingerprint, suspicion) ->
            suspicion
                .lossAt(deathId)
                .ifPresent(alone -> suspects.merge(fingerprint, alone, Boolean::logicalOr)));
    slots.suspectAt(server.id()).ifPresent(fingerprint -> suspects.put(fingerprint, true));
    return suspects;
  }

  /**
   * Returns the deaths that quarantined requests caused. They do not count against requests that
   * were in flight beside them, which would otherwise be blamed at the next unrelated death.
   */
  private Set<String> explained() {
    Set<String> explained = new HashSet<>();
    records.values().stream()
        .filter(SuspicionRecord::quarantined)
        .forEach(suspicion -> explained.addAll(suspicion.deaths()));
    return explained;
  }

  private void quarantine(String fingerprint, SuspicionRecord suspicion) {
    suspicion.quarantine(nowMillis() + QUARANTINE.toMillis());
    record(EventType.REQUEST_QUARANTINED, fingerprint, suspicion.deathCount());
    List<SuspicionEntry> all = new ArrayList<>();
    records.forEach(
        (name, known) -> {
          if (known.quarantined() && !known.expired(nowMillis())) {
            all.add(known.toEntry());
          }
        });
    control.execute(() -> onQuarantine.accept(all));
  }

  private SuspicionRecord suspicion(String fingerprint) {
    if (records.size() >= MAX_RECORDS && !records.containsKey(fingerprint)) {
      records.entrySet().stream()
          .min(Comparator.comparingLong(entry -> entry.getValue().expiresAtMillis()))
          .ifPresent(oldest -> records.remove(oldest.getKey()));
    }
    return records.computeIfAbsent(fingerprint, SuspicionRecord::new);
  }

  private synchronized void end(Flight flight, boolean completed) {
    List<Flight> atServer = flights.get(flight.deathId);
    if (atServer != null) {
      atServer.remove(flight);
      if (atServer.isEmpty()) {
        flights.remove(flight.deathId);
      }
    }
    SuspicionRecord suspicion = records.get(flight.fingerprint);
    if (completed && suspicion != null && !suspicion.quarantined()) {
      suspicion.clear(nowMillis() + SUSPICION.toMillis());
      events.record(EventType.REQUEST_CLEARED, EventSubject.NONE, flight.fingerprint);
    }
  }

  private synchronized void lose(Flight flight) {
    List<Flight> atServer = flights.get(flight.deathId);
    if (atServer == null || !atServer.contains(flight)) {
      // The death was counted before the connection failed.
      return;
    }
    flight.lost = true;
    long until = nowMillis() + DEATH_NEWS.toMillis();
    if (suspicion(flight.fingerprint).addLoss(flight.deathId, flight.isolated, until)) {
      gossipSoon.run();
    }
    control.schedule(DEATH_NEWS, () -> end(flight, false));
  }

  private void record(EventType type, String fingerprint, int deaths) {
    events.record(type, EventSubject.NONE, fingerprint, deaths);
  }

  private long nowMillis() {
    return control.now().toEpochMilli();
  }

  private static String deathId(BackendServer server) {
    return server.id() + "@" + server.incarnation();
  }

  private final class Flight implements RequestFlight {
    private final String fingerprint;
    private final String deathId;
    private final boolean isolated;
    private boolean lost;

    Flight(String fingerprint, String deathId, boolean isolated) {
      this.fingerprint = fingerprint;
      this.deathId = deathId;
      this.isolated = isolated;
    }

    @Override
    public void completed() {
      end(this, true);
    }

    @Override
    public void withdrawn() {
      end(this, false);
    }

    @Override
    public void lost() {
      lose(this);
    }
  }
}
