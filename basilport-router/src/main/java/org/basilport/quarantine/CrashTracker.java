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
 * Detects and quarantines requests that crash backend servers; safe to use from any thread.
 *
 * <p>When a backend server crashes, each request that was in flight on that incarnation becomes a
 * suspect and runs only in isolation from then on. A lost connection makes the request a suspect on
 * all instances for a short time even before the crash is detected, because a retry on another
 * server could otherwise crash that one too.
 */
public final class CrashTracker implements BackendListener, GossipParticipant {
  /** How long a request stays a suspect after the latest crash. */
  static final Duration SUSPICION_DURATION = Duration.ofMinutes(10);

  /** How long a quarantined request is rejected. */
  static final Duration QUARANTINE_DURATION = Duration.ofHours(1);

  /** How long a request stays a suspect after a lost connection without a detected crash. */
  static final Duration CRASH_DETECTION_TIMEOUT = Duration.ofSeconds(15);

  private static final int MAX_RECORDS = 10_000;

  private final Scheduler control;
  private final EventSink events;
  private final IsolationSlots slots;
  private final Runnable triggerGossip;
  private final Map<String, SuspicionRecord> suspicions = new HashMap<>();
  private final Map<String, List<TrackedRequest>> requestsByCrashId = new HashMap<>();
  private Consumer<List<SuspicionEntry>> quarantineListener = entries -> {};

  /**
   * Creates a tracker.
   *
   * @param slots the slots that this instance grants; if a holder crashes together with its
   *     suspect, it cannot gossip the loss, and the slot is the only trace of the request
   * @param triggerGossip triggers gossip before the next round
   */
  public CrashTracker(
      Scheduler control, EventSink events, IsolationSlots slots, Runnable triggerGossip) {
    this.control = control;
    this.events = events;
    this.slots = slots;
    this.triggerGossip = triggerGossip;
  }

  /** Sets the listener that receives all quarantined entries whenever one is added. */
  public synchronized void setQuarantineListener(Consumer<List<SuspicionEntry>> listener) {
    quarantineListener = listener;
  }

  /** Returns how a request may run. */
  public synchronized Verdict verdict(String fingerprint) {
    SuspicionRecord suspicion = suspicions.get(fingerprint);
    return suspicion == null ? Verdict.CLEAR : suspicion.verdict(nowMillis(), attributedCrashes());
  }

  /** Starts tracking a request that is being sent to a backend server. */
  public synchronized InFlightRequest begin(
      String fingerprint, BackendServer server, boolean isolated) {
    TrackedRequest request = new TrackedRequest(fingerprint, crashId(server), isolated);
    requestsByCrashId.computeIfAbsent(request.crashId, id -> new ArrayList<>()).add(request);
    return request;
  }

  @Override
  public synchronized void onCrash(BackendServer server) {
    String crashId = crashId(server);
    List<TrackedRequest> requestsInFlight = requestsByCrashId.getOrDefault(crashId, List.of());
    requestsByCrashId.remove(crashId);
    events.record(
        EventType.BACKEND_DEAD,
        EventSubject.server(server.id()),
        server.id(),
        requestsInFlight.size());
    Map<String, Boolean> suspects = suspects(server, requestsInFlight);
    long isolatedCount = suspects.values().stream().filter(isolated -> isolated).count();
    suspects.forEach(
        (fingerprint, inIsolation) -> {
          SuspicionRecord suspicion = suspicion(fingerprint);
          boolean soleSuspect = inIsolation && isolatedCount == 1;
          long expiresAtMillis = nowMillis() + SUSPICION_DURATION.toMillis();
          if (suspicion.addCrash(crashId, soleSuspect, expiresAtMillis)) {
            record(EventType.REQUEST_SUSPECTED, fingerprint, suspicion.crashCount());
          }
          if (suspicion.isProvenCause(attributedCrashes())) {
            quarantine(fingerprint, suspicion);
          }
        });
    if (!suspects.isEmpty()) {
      triggerGossip.run();
    }
  }

  @Override
  public synchronized void onLoadReport(BackendServer server, EngineReport report) {
    // A report of the same incarnation proves that the server survived the lost connection.
    if (report.incarnation() == server.incarnation()) {
      String crashId = crashId(server);
      suspicions.values().forEach(suspicion -> suspicion.resolve(crashId));
      List<TrackedRequest> requestsAtServer = requestsByCrashId.get(crashId);
      if (requestsAtServer != null) {
        requestsAtServer.removeIf(request -> request.connectionLost);
      }
    }
  }

  @Override
  public synchronized void contribute(GossipMessage.Builder message, int capacityBytes) {
    long now = nowMillis();
    suspicions.values().removeIf(suspicion -> suspicion.expired(now));
    message.addAllSuspicions(SuspicionGossipSelector.select(suspicions.values(), capacityBytes));
  }

  @Override
  public synchronized void receive(GossipMessage message) {
    merge(message.getSuspicionsList());
  }

  /** Merges entries from gossip or from the platform. */
  public synchronized void merge(List<SuspicionEntry> entries) {
    long now = nowMillis();
    boolean changed = false;
    for (SuspicionEntry entry : entries) {
      if (entry.getExpiresAtMillis() > now) {
        SuspicionRecord suspicion = suspicion(entry.getFingerprint());
        changed |= suspicion.merge(entry, now);
        if (suspicion.isProvenCause(attributedCrashes())) {
          quarantine(entry.getFingerprint(), suspicion);
        }
      }
    }
    if (changed) {
      triggerGossip.run();
    }
  }

  /**
   * Returns the requests that were in flight when a server crashed, and whether each ran in
   * isolation. Requests of other instances are included through their gossiped losses: the instance
   * that observed a loss may be replaced before the crash is detected, and would not count it.
   */
  private Map<String, Boolean> suspects(
      BackendServer server, List<TrackedRequest> requestsInFlight) {
    String crashId = crashId(server);
    Map<String, Boolean> suspects = new LinkedHashMap<>();
    requestsInFlight.forEach(
        request -> suspects.merge(request.fingerprint, request.isolated, Boolean::logicalOr));
    suspicions.forEach(
        (fingerprint, suspicion) ->
            suspicion
                .lossAt(crashId)
                .ifPresent(isolated -> suspects.merge(fingerprint, isolated, Boolean::logicalOr)));
    slots.holderFingerprint(server.id()).ifPresent(fingerprint -> suspects.put(fingerprint, true));
    return suspects;
  }

  /**
   * Returns the crashes that are attributed to quarantined requests. They do not count against
   * other requests that were in flight, which could otherwise be quarantined after one unrelated
   * crash.
   */
  private Set<String> attributedCrashes() {
    Set<String> attributed = new HashSet<>();
    suspicions.values().stream()
        .filter(SuspicionRecord::quarantined)
        .forEach(suspicion -> attributed.addAll(suspicion.crashIds()));
    return attributed;
  }

  private void quarantine(String fingerprint, SuspicionRecord suspicion) {
    suspicion.quarantine(nowMillis() + QUARANTINE_DURATION.toMillis());
    record(EventType.REQUEST_QUARANTINED, fingerprint, suspicion.crashCount());
    List<SuspicionEntry> all = new ArrayList<>();
    suspicions.forEach(
        (name, known) -> {
          if (known.quarantined() && !known.expired(nowMillis())) {
            all.add(known.toEntry());
          }
        });
    control.execute(() -> quarantineListener.accept(all));
  }

  private SuspicionRecord suspicion(String fingerprint) {
    if (suspicions.size() >= MAX_RECORDS && !suspicions.containsKey(fingerprint)) {
      suspicions.entrySet().stream()
          .min(Comparator.comparingLong(entry -> entry.getValue().expiresAtMillis()))
          .ifPresent(oldest -> suspicions.remove(oldest.getKey()));
    }
    return suspicions.computeIfAbsent(fingerprint, SuspicionRecord::new);
  }

  private synchronized void stopTracking(TrackedRequest request, boolean completed) {
    List<TrackedRequest> requestsAtServer = requestsByCrashId.get(request.crashId);
    if (requestsAtServer != null) {
      requestsAtServer.remove(request);
      if (requestsAtServer.isEmpty()) {
        requestsByCrashId.remove(request.crashId);
      }
    }
    SuspicionRecord suspicion = suspicions.get(request.fingerprint);
    if (completed && suspicion != null && !suspicion.quarantined()) {
      suspicion.clear(nowMillis() + SUSPICION_DURATION.toMillis());
      events.record(EventType.REQUEST_CLEARED, EventSubject.NONE, request.fingerprint);
    }
  }

  private synchronized void recordLoss(TrackedRequest request) {
    List<TrackedRequest> requestsAtServer = requestsByCrashId.get(request.crashId);
    if (requestsAtServer == null || !requestsAtServer.contains(request)) {
      // The crash was already counted.
      return;
    }
    request.connectionLost = true;
    long untilMillis = nowMillis() + CRASH_DETECTION_TIMEOUT.toMillis();
    if (suspicion(request.fingerprint).addLoss(request.crashId, request.isolated, untilMillis)) {
      triggerGossip.run();
    }
    control.schedule(CRASH_DETECTION_TIMEOUT, () -> stopTracking(request, false));
  }

  private void record(EventType type, String fingerprint, int crashes) {
    events.record(type, EventSubject.NONE, fingerprint, crashes);
  }

  private long nowMillis() {
    return control.now().toEpochMilli();
  }

  /**
   * Returns the id of the crash of a server's incarnation, by which it is counted once. Also
   * identifies the incarnation before it crashes.
   */
  private static String crashId(BackendServer server) {
    return server.id() + "@" + server.incarnation();
  }

  private final class TrackedRequest implements InFlightRequest {
    private final String fingerprint;
    private final String crashId;
    private final boolean isolated;
    private boolean connectionLost;

    TrackedRequest(String fingerprint, String crashId, boolean isolated) {
      this.fingerprint = fingerprint;
      this.crashId = crashId;
      this.isolated = isolated;
    }

    @Override
    public void completed() {
      stopTracking(this, true);
    }

    @Override
    public void notRun() {
      stopTracking(this, false);
    }

    @Override
    public void connectionLost() {
      recordLoss(this);
    }
  }
}
