package org.basilport.policy.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects requests, and parts of prompts, that crash the backend servers that run them.
 *
 * <p>Without it, a request that is retried after each crash, or a prompt part that many requests
 * contain, takes down one server after another. A lost connection counts as a crash only when the
 * server is found dead shortly before or after and had not announced that it is leaving. Crashes,
 * quarantines and contents that are known to be sound are exchanged between the instances, all of
 * which decide alike. Confined to one thread.
 */
public final class CrashingRequestDetector {
  /**
   * Maximum time between a lost connection and the report that the server is dead: three heartbeats
   * and a margin.
   */
  private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** Time for which crashes are kept; a crashing request is usually retried within seconds. */
  private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

  /** Duration of a quarantine after the last crash. */
  public static final Duration QUARANTINE = Duration.ofMinutes(5);

  private static final long QUARANTINE_NANOS = QUARANTINE.toNanos();

  /** Maximum number of requests in crashes that are kept; the oldest are dropped first. */
  private static final int MAX_OBSERVATIONS = 256;

  /**
   * Time for which crashes are reported to other instances; one that was cut off for longer learns
   * of the quarantine that followed.
   */
  private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Maximum number of requests in crashes in a report, so that it fits into a datagram. */
  private static final int MAX_REPORTED_OBSERVATIONS = 32;

  private final List<LostConnection> lostConnections = new ArrayList<>();
  private final Map<ServerIncarnation, Long> deadServers = new HashMap<>();
  private final Map<CrashEvidence, CrashObservation> observations = new HashMap<>();
  private final SoundContents soundContents = new SoundContents();
  private final QuarantineTable quarantines = new QuarantineTable();
  private final List<QuarantineChange> changes = new ArrayList<>();
  private final Map<Long, Long> refutedAtNanos = new HashMap<>();
  private boolean evaluationDue;
  private Optional<Long> nextEvaluationNanos = Optional.empty();

  /**
   * Records that the connection of a running request to its server was lost.
   *
   * @param answering whether the server had begun its response
   * @return whether the server is known to be dead
   */
  public boolean recordLostConnection(
      RequestContent content, boolean answering, String serverId, long incarnation, long nowNanos) {
    lostConnections.removeIf(lost -> nowNanos - lost.lostAtNanos > CONFIRMATION_NANOS);
    CrashEvidence evidence = new CrashEvidence(content, answering, serverId, incarnation);
    lostConnections.add(new LostConnection(evidence, nowNanos));
    Long since = deadServers.get(new ServerIncarnation(serverId, incarnation));
    if (since == null || nowNanos - since > CONFIRMATION_NANOS) {
      return false;
    }
    addCrash(evidence, nowNanos, nowNanos);
    return true;
  }

  /**
   * Records that a server is dead.
   *
   * @return whether this revealed crashes to report to the other instances
   */
  public boolean recordDeadServer(String serverId, long incarnation, long nowNanos) {
    deadServers.values().removeIf(since -> nowNanos - since > CONFIRMATION_NANOS);
    deadServers.put(new ServerIncarnation(serverId, incarnation), nowNanos);
    boolean newCrash = false;
    for (LostConnection lost : lostConnections) {
      if (lost.evidence.serverId().equals(serverId)
          && lost.evidence.incarnation() == incarnation
          && nowNanos - lost.lostAtNanos <= CONFIRMATION_NANOS) {
        newCrash |= addCrash(lost.evidence, lost.lostAtNanos, nowNanos);
      }
    }
    return newCrash;
  }

  /** Whether this instance lost a request with a content lately, rather than being told of it. */
  public boolean witnessed(long content, long nowNanos) {
    return lostConnections.stream()
        .filter(lost -> nowNanos - lost.lostAtNanos <= CONFIRMATION_NANOS)
        .map(lost -> lost.evidence.content())
        .anyMatch(lost -> lost.fingerprint() == content || lost.promptParts().contains(content));
  }

  /**
   * Adds a request in a crash, which this or another instance observed.
   *
   * @param lostAtNanos time at which the connection of the request was lost
   * @return whether it is new
   */
  public boolean addCrash(CrashEvidence evidence, long lostAtNanos, long nowNanos) {
    observations.values().removeIf(known -> nowNanos - known.lostAtNanos() > RETENTION_NANOS);
    if (observations.containsKey(evidence) || nowNanos - lostAtNanos > RETENTION_NANOS) {
      return false;
    }
    if (observations.size() >= MAX_OBSERVATIONS) {
      observations.values().stream()
          .min((a, b) -> Long.signum(a.lostAtNanos() - b.lostAtNanos()))
          .ifPresent(oldest -> observations.remove(oldest.evidence()));
    }
    observations.put(evidence, new CrashObservation(evidence, lostAtNanos, nowNanos));
    evaluationDue = true;
    return true;
  }

  /** Records that a server answered a request, or a part of it, without crashing. */
  public void recordSound(RequestContent content, long nowNanos) {
    content.promptParts().forEach(part -> addSound(part, nowNanos));
    if (!observations.isEmpty()) {
      addSound(content.fingerprint(), nowNanos);
    }
  }

  /** Records that this or another instance observed a content to be sound. */
  public void addSound(long content, long soundAtNanos) {
    if (!soundContents.record(content, soundAtNanos)) {
      return;
    }
    // Without a pending decision, a sound content changes nothing before the next crash.
    evaluationDue |= nextEvaluationNanos.isPresent();
    boolean refuted =
        quarantines
            .known(content)
            .filter(quarantine -> soundAtNanos - quarantine.lastCrashNanos() > 0)
            .isPresent();
    if (refuted) {
      refutedAtNanos.put(content, soundAtNanos);
      quarantines
          .remove(content)
          .ifPresent(quarantine -> changes.add(new QuarantineChange(quarantine, false, 0)));
    }
  }

  /** Adds a quarantine that another instance decided; returns whether it is new. */
  public boolean addQuarantine(Quarantine quarantine, long nowNanos) {
    if (soundContents.soundAfter(quarantine.content(), quarantine.lastCrashNanos())) {
      refutedAtNanos.put(quarantine.content(), nowNanos);
      return false;
    }
    if (!quarantines.add(quarantine)) {
      return false;
    }
    evaluationDue |= !observations.isEmpty();
    return true;
  }

  /** Returns the quarantine of a request or of a part of its prompt; empty if it may be sent. */
  public Optional<Quarantine> quarantine(RequestContent content, long nowNanos) {
    evaluate(nowNanos);
    for (long part : content.promptParts()) {
      Optional<Quarantine> quarantine = quarantines.inForce(part, nowNanos);
      if (quarantine.isPresent()) {
        return quarantine;
      }
    }
    return quarantines.inForce(content.fingerprint(), nowNanos);
  }

  /** Returns the quarantines that began or were lifted here since the last call. */
  public List<QuarantineChange> pollChanges(long nowNanos) {
    evaluate(nowNanos);
    List<QuarantineChange> polled = List.copyOf(changes);
    changes.clear();
    return polled;
  }

  private void evaluate(long nowNanos) {
    boolean settled = nextEvaluationNanos.filter(at -> at - nowNanos <= 0).isPresent();
    if (!evaluationDue && !settled) {
      return;
    }
    evaluationDue = false;
    CrashAttribution attribution =
        new CrashAttribution(observations.values(), soundContents, quarantines::known, nowNanos);
    nextEvaluationNanos = attribution.nextDecisionNanos();
    attribution
        .culprits()
        .forEach(
            (content, crashes) -> {
              long lastCrash = lastCrashNanos(content);
              Quarantine quarantine =
                  new Quarantine(content, lastCrash, lastCrash + QUARANTINE_NANOS);
              boolean inForce = quarantines.inForce(content, nowNanos).isPresent();
              if (quarantines.add(quarantine) && !inForce) {
                changes.add(new QuarantineChange(quarantine, true, crashes));
              }
            });
  }

  private long lastCrashNanos(long content) {
    return observations.values().stream()
        .filter(
            observation ->
                observation.evidence().content().fingerprint() == content
                    || observation.evidence().content().promptParts().contains(content))
        .map(CrashObservation::lostAtNanos)
        .max((a, b) -> Long.signum(a - b))
        .orElseThrow();
  }

  /** The latest crashes, to be sent to other instances, with the times of the lost connections. */
  public Map<CrashEvidence, Long> recentCrashes(long nowNanos) {
    Map<CrashEvidence, Long> recent = new HashMap<>();
    observations.values().stream()
        .filter(observation -> nowNanos - observation.lostAtNanos() <= REPORT_NANOS)
        .sorted((a, b) -> Long.signum(b.lostAtNanos() - a.lostAtNanos()))
        .limit(MAX_REPORTED_OBSERVATIONS)
        .forEach(observation -> recent.put(observation.evidence(), observation.lostAtNanos()));
    return recent;
  }

  /**
   * The contents of recent crashes, and of present and lifted quarantines, that were observed to be
   * sound, to be sent to other instances, with the times of the observations.
   */
  public Map<Long, Long> soundSuspects(long nowNanos) {
    Set<Long> suspects = new HashSet<>();
    for (CrashEvidence evidence : recentCrashes(nowNanos).keySet()) {
      suspects.addAll(evidence.content().promptParts());
      suspects.add(evidence.content().fingerprint());
    }
    quarantines.inForce(nowNanos).forEach(quarantine -> suspects.add(quarantine.content()));
    refutedAtNanos.values().removeIf(at -> nowNanos - at > REPORT_NANOS);
    suspects.addAll(refutedAtNanos.keySet());
    Map<Long, Long> sound = new HashMap<>();
    for (long content : suspects) {
      OptionalLong lastSound = soundContents.lastSound(content);
      lastSound.ifPresent(at -> sound.put(content, at));
    }
    return sound;
  }

  /** The quarantines in force, to be sent to other instances. */
  public List<Quarantine> quarantines(long nowNanos) {
    evaluate(nowNanos);
    return quarantines.inForce(nowNanos);
  }

  /** One incarnation of a server. */
  private record ServerIncarnation(String serverId, long incarnation) {}

  /** A lost connection to a server that may have crashed. */
  private record LostConnection(CrashEvidence evidence, long lostAtNanos) {}
}
