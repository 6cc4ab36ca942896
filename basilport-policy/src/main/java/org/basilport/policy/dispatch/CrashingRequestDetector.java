package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Detects requests that crash the backend servers that run them.
 *
 * <p>Without it, a request that is retried after each crash takes down one server after another. A
 * lost connection counts as a crash only when the server is found dead shortly before or after and
 * had not announced that it is leaving. Requests are identified by a fingerprint of their content.
 * Confined to one thread.
 */
public final class CrashingRequestDetector {
  /** Crashes after which a request is quarantined; two may be coincidence. */
  private static final int CRASHES_TO_QUARANTINE = 3;

  /**
   * Maximum time between a lost connection and the report that the server is dead: three heartbeats
   * and a margin.
   */
  private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** Time for which crashes are kept; a crashing request is usually retried within seconds. */
  private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

  /** Maximum number of crashes that are kept; the oldest are dropped first. */
  private static final int MAX_CRASHES = 256;

  private final List<LostConnection> lostConnections = new ArrayList<>();
  private final Map<ServerIncarnation, Long> deadServers = new HashMap<>();
  private final Map<Crash, Long> crashes = new HashMap<>();

  /** Records that the connection of a running request to its server was lost. */
  public void recordLostConnection(
      long fingerprint, String serverId, long incarnation, long nowNanos) {
    lostConnections.removeIf(lost -> nowNanos - lost.lostAtNanos > CONFIRMATION_NANOS);
    Crash crash = new Crash(fingerprint, serverId, incarnation);
    lostConnections.add(new LostConnection(crash, nowNanos));
    Long since = deadServers.get(new ServerIncarnation(serverId, incarnation));
    if (since != null && nowNanos - since <= CONFIRMATION_NANOS) {
      addCrash(crash, nowNanos);
    }
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
      if (lost.crash.serverId.equals(serverId)
          && lost.crash.incarnation == incarnation
          && nowNanos - lost.lostAtNanos <= CONFIRMATION_NANOS) {
        newCrash |= addCrash(lost.crash, nowNanos);
      }
    }
    return newCrash;
  }

  /** Adds a crash that another instance observed; returns false when it is already known. */
  public boolean addCrash(Crash crash, long nowNanos) {
    crashes.values().removeIf(since -> nowNanos - since > RETENTION_NANOS);
    if (crashes.size() >= MAX_CRASHES) {
      crashes.entrySet().stream()
          .min(Map.Entry.comparingByValue())
          .ifPresent(oldest -> crashes.remove(oldest.getKey()));
    }
    return crashes.putIfAbsent(crash, nowNanos) == null;
  }

  /** Whether a request is quarantined because of the servers that it has crashed. */
  public boolean quarantined(long fingerprint, long nowNanos) {
    long count =
        crashes.entrySet().stream()
            .filter(entry -> entry.getKey().fingerprint == fingerprint)
            .filter(entry -> nowNanos - entry.getValue() <= RETENTION_NANOS)
            .count();
    return count >= CRASHES_TO_QUARANTINE;
  }

  /** The known crashes, to be sent to other instances. */
  public Set<Crash> crashes() {
    return new HashSet<>(crashes.keySet());
  }

  /**
   * Crash of a server while it ran a request.
   *
   * @param fingerprint hash of the request's content
   * @param serverId id of the server
   * @param incarnation incarnation of the server
   */
  public record Crash(long fingerprint, String serverId, long incarnation) {}

  /** One incarnation of a server. */
  private record ServerIncarnation(String serverId, long incarnation) {}

  /** A lost connection to a server that may have crashed. */
  private record LostConnection(Crash crash, long lostAtNanos) {}
}
