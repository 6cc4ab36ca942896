package org.basilport.gateway.backend;

import com.codahale.metrics.Counter;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.config.ColdStartLimits;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.policy.dispatch.ColdStartHolders;
import org.basilport.policy.dispatch.ColdStartShare;

/**
 * Which servers are cold, and how many requests this instance may send to each of them. Has no
 * effect unless the settings limit the requests to cold servers and the service names what they
 * bear. Confined to the event loop thread, except {@link #coldServers()} and the counters.
 */
public final class ColdStartShares {
  /**
   * Retention of a server that is not listed, longer than a window: its entry may return, and the
   * requests that were sent to it still count.
   */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Longest time for which an entry can declare a server cold. */
  private static final Duration MAX_COLD = Duration.ofHours(1);

  /** Wait for an entry of a server that this instance does not know. */
  private static final long UNKNOWN_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Two lists of the fleet may be in use at the same time, each with its own permits. */
  private static final int LISTS_IN_USE = 2;

  private final Optional<ColdStartLimits> limits;
  private final EventSink events;
  private final ColdStartHolders holders;
  private final Map<Start, KnownServer> servers = new ConcurrentHashMap<>();
  private final Map<String, Long> coldDataCentres = new HashMap<>();
  private final Counter sends = new Counter();
  private final Counter deferred = new Counter();

  /** Permits of one list of instances for each cold server of a service that has a limit. */
  private volatile Map<String, Integer> permits = Map.of();

  /**
   * Creates the state of an instance that has not read a list of instances.
   *
   * @param limits limits on the requests to cold servers; empty if there are none
   */
  public ColdStartShares(String instanceId, Optional<ColdStartLimits> limits, EventSink events) {
    this.limits = limits;
    this.events = events;
    this.holders = new ColdStartHolders(instanceId, ColdStartHolders.SETTLING_NANOS);
  }

  /**
   * Replaces the registered instances.
   *
   * @param instanceIds ids that the list contains; without the own one, this instance holds no
   *     permit
   */
  public void updateInstances(Collection<String> instanceIds, long nowNanos) {
    holders.update(instanceIds, nowNanos);
  }

  /**
   * Applies what entries state. The remaining time counts from the receipt of the entry, which adds
   * the age of the entry to the time that it states.
   *
   * @param source origin of the entries, for events
   */
  void update(
      List<ServerEntry> entries,
      ForwardingConfiguration configuration,
      String source,
      long nowNanos) {
    if (limits.isEmpty()) {
      return;
    }
    permits = permits(limits.get(), configuration);
    Set<Start> listed = new HashSet<>();
    for (ServerEntry entry : entries) {
      listed.add(Start.of(entry));
      KnownServer server = known(entry);
      server.lastListedNanos = nowNanos;
      applyEntry(server, entry, source, nowNanos);
    }
    servers
        .entrySet()
        .removeIf(
            server ->
                !listed.contains(server.getKey())
                    && nowNanos - server.getValue().lastListedNanos > RETENTION_NANOS);
  }

  private static Map<String, Integer> permits(
      ColdStartLimits limits, ForwardingConfiguration configuration) {
    Map<String, Integer> byService = new HashMap<>();
    for (ForwardingService service : configuration.services().values()) {
      service
          .coldStart()
          .map(limits::requestsInOneSecond)
          .ifPresent(bound -> byService.put(service.name(), (int) (bound / LISTS_IN_USE)));
    }
    return byService;
  }

  /**
   * A value that is listed again tells nothing new: it would make the server cold with each read.
   */
  private void applyEntry(KnownServer server, ServerEntry entry, String source, long nowNanos) {
    Duration stated = entry.warmUpRemaining();
    if (server.stated.isEmpty()) {
      Optional.ofNullable(coldDataCentres.get(entry.dataCentre()))
          .ifPresent(until -> extend(server, until, "data centre", nowNanos));
    }
    if (!server.stated.equals(Optional.of(stated))) {
      server.stated = Optional.of(stated);
      long nanos = (stated.compareTo(MAX_COLD) < 0 ? stated : MAX_COLD).toNanos();
      extend(server, nowNanos + nanos, source, nowNanos);
    }
  }

  /**
   * Takes all servers of a data centre for cold, also those that are listed within this time.
   *
   * @param durationNanos time for which they are cold, with the age of the copy of the servers
   */
  public void markCold(String dataCentre, long durationNanos) {
    markCold(dataCentre, durationNanos, System.nanoTime());
  }

  void markCold(String dataCentre, long durationNanos, long nowNanos) {
    if (limits.isEmpty()) {
      return;
    }
    long until = nowNanos + durationNanos;
    coldDataCentres.merge(dataCentre, until, (known, added) -> known - added > 0 ? known : added);
    servers.values().stream()
        .filter(server -> server.entry.dataCentre().equals(dataCentre))
        .forEach(server -> extend(server, until, "data centre", nowNanos));
  }

  private void extend(KnownServer server, long untilNanos, String source, long nowNanos) {
    if (untilNanos - nowNanos <= 0) {
      return;
    }
    boolean wasCold = server.coldAfterEntry(nowNanos);
    if (!wasCold || untilNanos - server.coldUntilNanos > 0) {
      server.coldUntilNanos = untilNanos;
      server.everCold = true;
    }
    ServerEntry entry = server.entry;
    if (!wasCold && permits.containsKey(entry.service())) {
      events.record(
          EventType.SERVER_COLD,
          EventSubject.server(entry.id()),
          entry.id(),
          entry.incarnation(),
          TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos),
          ownPermits(entry, nowNanos),
          source);
    }
  }

  /** Whether the requests to a server are limited now because it is cold. */
  public boolean isCold(ServerEntry entry, long nowNanos) {
    if (!permits.containsKey(entry.service())) {
      return false;
    }
    KnownServer server = servers.get(Start.of(entry));
    return server == null || server.isCold(nowNanos);
  }

  /** Whether a request may be placed at a server; a cold one needs a permit that is left. */
  public boolean permitsPlacement(ServerEntry entry, long nowNanos) {
    return !isCold(entry, nowNanos)
        || known(entry).share.permitsPlacement(ownPermits(entry, nowNanos), nowNanos);
  }

  /** Whether a request could be sent to a server now. */
  public boolean permitsSend(ServerEntry entry, long nowNanos) {
    return !isCold(entry, nowNanos)
        || known(entry).share.permitsSend(ownPermits(entry, nowNanos), nowNanos);
  }

  /** Records that a request was placed at a server and is going to be sent. */
  public void recordPlaced(ServerEntry entry, long nowNanos) {
    if (isCold(entry, nowNanos)) {
      known(entry).share.recordPlaced(nowNanos);
    }
  }

  /**
   * Time until a request can be placed at a server: until a permit is free or the server is warm; 0
   * if it can be placed now.
   */
  public long nanosToPlacement(ServerEntry entry, long nowNanos) {
    if (!isCold(entry, nowNanos)) {
      return 0;
    }
    KnownServer server = known(entry);
    OptionalLong toPermit = server.share.nanosToPlacement(ownPermits(entry, nowNanos), nowNanos);
    long toWarm = server.stated.isPresent() ? server.coldUntilNanos - nowNanos : UNKNOWN_WAIT_NANOS;
    return Math.min(toPermit.orElse(Long.MAX_VALUE), toWarm);
  }

  /**
   * Takes a permit for a request that is sent now. The permit is not returned if the send fails.
   *
   * @return whether the request may be sent; always true for a warm server
   */
  public boolean tryAcquire(ServerEntry entry, long nowNanos) {
    Integer servicePermits = permits.get(entry.service());
    if (servicePermits == null) {
      return true;
    }
    if (!isCold(entry, nowNanos)) {
      known(entry).share.recordSend(servicePermits, nowNanos);
      return true;
    }
    if (!known(entry).share.tryAcquire(ownPermits(entry, nowNanos), nowNanos)) {
      deferred.inc();
      return false;
    }
    sends.inc();
    return true;
  }

  /** Records that queued requests wait for a permit of a server. */
  public void recordWait() {
    deferred.inc();
  }

  private int ownPermits(ServerEntry entry, long nowNanos) {
    return holders.share(entry.id(), permits.getOrDefault(entry.service(), 0), nowNanos);
  }

  private KnownServer known(ServerEntry entry) {
    return servers.computeIfAbsent(Start.of(entry), start -> new KnownServer(entry));
  }

  /** Number of servers that count as cold. Safe to call from any thread. */
  public int coldServers() {
    long now = System.nanoTime();
    return (int) servers.values().stream().filter(server -> isCold(server.entry, now)).count();
  }

  /** Counts the requests that were sent to cold servers. */
  public Counter sends() {
    return sends;
  }

  /** Counts the sends refused for want of a permit, and the times that a queue waited for one. */
  public Counter deferred() {
    return deferred;
  }

  /** One start of a server. */
  private record Start(String id, long incarnation) {
    static Start of(ServerEntry entry) {
      return new Start(entry.id(), entry.incarnation());
    }
  }

  /** What is known of one start of a server. */
  private static final class KnownServer {
    private final ServerEntry entry;
    private final ColdStartShare share = new ColdStartShare();

    /** Remaining time that the latest entry stated; empty before the first one. */
    private volatile Optional<Duration> stated = Optional.empty();

    private volatile boolean everCold;
    private volatile long coldUntilNanos;
    private long lastListedNanos;

    private KnownServer(ServerEntry entry) {
      this.entry = entry;
    }

    /** A server counts as cold until an entry states otherwise. */
    private boolean isCold(long nowNanos) {
      return stated.isEmpty() || coldAfterEntry(nowNanos);
    }

    private boolean coldAfterEntry(long nowNanos) {
      return everCold && coldUntilNanos - nowNanos > 0;
    }
  }
}
