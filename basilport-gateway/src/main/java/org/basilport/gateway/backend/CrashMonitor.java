package org.basilport.gateway.backend;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.policy.dispatch.CrashEvidence;
import org.basilport.policy.dispatch.CrashingRequestDetector;
import org.basilport.policy.dispatch.Quarantine;
import org.basilport.policy.dispatch.QuarantineChange;
import org.basilport.policy.dispatch.RequestContent;

/**
 * Collects what this instance and others observe of crashes of backend servers, and determines
 * which requests must not be sent because they would crash further ones. Confined to the event loop
 * thread.
 */
public final class CrashMonitor {
  /** Time after a lost connection at which a crashed server accepts no connections any more. */
  private static final long PROBE_DELAY_MILLIS = 50;

  private final EventLoop eventLoop;
  private final EventSink events;
  private final CrashingRequestDetector detector = new CrashingRequestDetector();
  private final Set<BackendServer> probedServers = new HashSet<>();
  private final Set<Long> saved = new HashSet<>();
  private QuarantineArchive archive = QuarantineArchive.NONE;
  private Runnable evidenceListener = () -> {};
  private Runnable quarantineListener = () -> {};

  CrashMonitor(EventLoop eventLoop, EventSink events) {
    this.eventLoop = eventLoop;
    this.events = events;
  }

  /** Sets the listener that is called when this instance observed a request in a crash. */
  public void onEvidence(Runnable listener) {
    evidenceListener = listener;
  }

  /** Sets the listener that is called when a quarantine began here or was lifted. */
  public void onQuarantineChange(Runnable listener) {
    quarantineListener = listener;
  }

  /** Sets the archive to which the instances that witnessed a crash save the quarantine. */
  public void setArchive(QuarantineArchive quarantineArchive) {
    archive = quarantineArchive;
  }

  /** Adds the quarantines that the archive held at the start. */
  public void addStored(List<StoredQuarantine> stored) {
    long now = System.nanoTime();
    Instant today = Instant.now();
    Instant latest = today.plus(CrashingRequestDetector.QUARANTINE);
    for (StoredQuarantine quarantine : stored) {
      Instant until = quarantine.until().isAfter(latest) ? latest : quarantine.until();
      if (until.isAfter(today)) {
        long untilNanos = now + Duration.between(today, until).toNanos();
        detector.addQuarantine(new Quarantine(quarantine.content(), now, untilNanos), now);
      }
    }
  }

  /** Evidence and quarantines, which are exchanged with the other instances. */
  public CrashingRequestDetector detector() {
    return detector;
  }

  /**
   * Records that the connection of a running request was lost, and tests whether its server has
   * crashed: the directory lists a crashed server for some seconds.
   *
   * @param answering whether the server had begun its response
   */
  public void recordLostRun(RequestContent content, boolean answering, BackendServer server) {
    ServerEntry entry = server.entry();
    boolean dead =
        detector.recordLostConnection(
            content, answering, entry.id(), entry.incarnation(), System.nanoTime());
    if (dead) {
      evidenceListener.run();
    } else if (probedServers.add(server)) {
      eventLoop.schedule(() -> probe(server), PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void probe(BackendServer server) {
    server
        .connections()
        .probe(
            reachable -> {
              probedServers.remove(server);
              if (!reachable) {
                server.load().health().recordUnreachable(System.nanoTime());
                recordDeadServer(server.entry(), "no connection after a lost one");
              }
            });
  }

  /**
   * Records that a server terminated without having announced its departure.
   *
   * @param source how it was detected, for events
   */
  public void recordDeadServer(ServerEntry entry, String source) {
    events.record(EventType.BACKEND_ENDED, EventSubject.server(entry.id()), entry.id(), source);
    if (detector.recordDeadServer(entry.id(), entry.incarnation(), System.nanoTime())) {
      evidenceListener.run();
    }
  }

  /**
   * Records a request in a crash that another instance observed.
   *
   * @param lostAtNanos monotonic time at which that instance lost the connection
   * @return whether it is new
   */
  public boolean recordReportedCrash(CrashEvidence evidence, long lostAtNanos) {
    long now = System.nanoTime();
    if (!detector.addCrash(evidence, lostAtNanos, now)) {
      return false;
    }
    events.record(
        EventType.REQUEST_SUSPECTED,
        EventSubject.server(evidence.serverId()),
        Long.toHexString(evidence.content().fingerprint()),
        1);
    if (detector.recordDeadServer(evidence.serverId(), evidence.incarnation(), now)) {
      evidenceListener.run();
    }
    return true;
  }

  /** Records that a server answered a request without crashing. */
  public void recordSound(RequestContent content) {
    detector.recordSound(content, System.nanoTime());
  }

  /** Returns the quarantine of a request; empty if it may be sent. */
  public Optional<Quarantine> quarantine(RequestContent content) {
    return detector.quarantine(content, System.nanoTime());
  }

  /** Evaluates the evidence and records the quarantines that began or were lifted. */
  public void evaluate() {
    boolean changed = false;
    for (QuarantineChange change : detector.pollChanges(System.nanoTime())) {
      String content = Long.toHexString(change.quarantine().content());
      if (change.begun()) {
        events.record(EventType.CONTENT_QUARANTINED, EventSubject.NONE, content, change.crashes());
        save(change.quarantine());
      } else {
        events.record(EventType.CONTENT_CLEARED, EventSubject.NONE, content);
        if (saved.remove(change.quarantine().content())) {
          archive.remove(change.quarantine().content());
        }
      }
      changed = true;
    }
    if (changed) {
      quarantineListener.run();
    }
  }

  private void save(Quarantine quarantine) {
    long now = System.nanoTime();
    if (detector.witnessed(quarantine.content(), now)) {
      saved.add(quarantine.content());
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(quarantine.untilNanos() - now);
      archive.save(
          new StoredQuarantine(
              quarantine.content(),
              Instant.ofEpochMilli(System.currentTimeMillis() + remainingMillis)));
    }
  }
}
