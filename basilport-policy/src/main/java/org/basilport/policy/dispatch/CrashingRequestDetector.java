package org.basilport.policy.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Finds requests that crash the backend servers that run them.
 *
 * <p>Answers a request that comes again and again and takes a server down each time. A lost
 * connection alone is no crash: it counts when its server is found dead soon after, and only if the
 * server had not announced that it leaves. Requests are recognised by a fingerprint of their
 * content. Confined to one thread.
 */
public final class CrashingRequestDetector {
  /** Deaths of servers after which a request is refused; the first two may be coincidence. */
  private static final int DEATHS_TO_REFUSE = 3;

  /** Time between a lost connection and the news of the death: three heartbeats and a margin. */
  private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(6);

  /** Time for which deaths are remembered; a request that comes again does so within seconds. */
  private static final long MEMORY_NANOS = TimeUnit.MINUTES.toNanos(5);

  /** Deaths that are remembered; the oldest go first. */
  private static final int MAX_DEATHS = 256;

  private final List<Loss> losses = new ArrayList<>();
  private final Map<Start, Long> deadServers = new HashMap<>();
  private final Map<Death, Long> deaths = new HashMap<>();

  /** Records that the connection of a request to a server was lost while the server was at work. */
  public void recordLostConnection(
      long fingerprint, String serverId, long incarnation, long nowNanos) {
    losses.removeIf(loss -> nowNanos - loss.nanos > CONFIRMATION_NANOS);
    Death death = new Death(fingerprint, serverId, incarnation);
    losses.add(new Loss(death, nowNanos));
    Long since = deadServers.get(new Start(serverId, incarnation));
    if (since != null && nowNanos - since <= CONFIRMATION_NANOS) {
      addDeath(death, nowNanos);
    }
  }

  /**
   * Records that a server is dead.
   *
   * @return whether requests were in flight on it, so that the other instances should know
   */
  public boolean recordServerDeath(String serverId, long incarnation, long nowNanos) {
    deadServers.values().removeIf(since -> nowNanos - since > CONFIRMATION_NANOS);
    deadServers.put(new Start(serverId, incarnation), nowNanos);
    boolean news = false;
    for (Loss loss : losses) {
      if (loss.death.serverId.equals(serverId)
          && loss.death.incarnation == incarnation
          && nowNanos - loss.nanos <= CONFIRMATION_NANOS) {
        news |= addDeath(loss.death, nowNanos);
      }
    }
    return news;
  }

  /** Takes over a death that another instance saw; false when it was known. */
  public boolean addDeath(Death death, long nowNanos) {
    deaths.values().removeIf(since -> nowNanos - since > MEMORY_NANOS);
    if (deaths.size() >= MAX_DEATHS) {
      deaths.entrySet().stream()
          .min(Map.Entry.comparingByValue())
          .ifPresent(oldest -> deaths.remove(oldest.getKey()));
    }
    return deaths.putIfAbsent(death, nowNanos) == null;
  }

  /** Whether a request has crashed so many servers that it is refused. */
  public boolean quarantined(long fingerprint, long nowNanos) {
    long count =
        deaths.entrySet().stream()
            .filter(entry -> entry.getKey().fingerprint == fingerprint)
            .filter(entry -> nowNanos - entry.getValue() <= MEMORY_NANOS)
            .count();
    return count >= DEATHS_TO_REFUSE;
  }

  /** The deaths that are remembered, to be told to other instances. */
  public Set<Death> deaths() {
    return new HashSet<>(deaths.keySet());
  }

  /**
   * A server that died while it ran a request.
   *
   * @param fingerprint hash of the request's content
   * @param serverId id of the server
   * @param incarnation its start
   */
  public record Death(long fingerprint, String serverId, long incarnation) {}

  /** One start of a server. */
  private record Start(String serverId, long incarnation) {}

  /** A lost connection whose server may have died. */
  private record Loss(Death death, long nanos) {}
}
