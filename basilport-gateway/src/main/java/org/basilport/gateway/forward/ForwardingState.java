package org.basilport.gateway.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.policy.dispatch.EarliestFirstTokenSelector;
import org.basilport.policy.dispatch.ExpiredEntryRetention;
import org.basilport.policy.dispatch.FreshnessProof;
import org.basilport.policy.dispatch.LeastOccupiedSelector;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.WindowedRetryBudget;

/**
 * The configuration in force and the backend servers, as the traffic thread sees them.
 *
 * <p>All methods but {@link #configuration()} and {@link #freshnessProof()} run on the traffic
 * thread.
 */
public final class ForwardingState {
  /**
   * An engine whose expected first token is later than this gets no further prompt. It is below the
   * shortest target latency of the model routes (1.5 s), so that a queued prompt is still on time.
   */
  private static final long FIRST_TOKEN_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private final String dataCentre;
  private final RetryLimits retryLimits;
  private final ServerTable servers;
  private final EventSink events;
  private final SplittableRandom random;
  private final FreshnessProof freshnessProof = new FreshnessProof();
  private final Map<String, ServiceDispatcher> dispatchers = new HashMap<>();
  private volatile Optional<ForwardingConfiguration> configuration = Optional.empty();
  private final ExpiredEntryRetention entryRetention = new ExpiredEntryRetention();
  private List<ServerEntry> entries = List.of();
  private List<ServerEntry> lastListed = List.of();
  private String entriesSource = "";
  private Predicate<BackendServer> serverFilter = server -> true;
  private int instanceCount = 1;
  private Runnable sharedCapacityListener = this::placeAllQueued;

  /** Creates the state of an instance that knows nothing yet. */
  public ForwardingState(
      String dataCentre,
      RetryLimits retryLimits,
      ServerTable servers,
      EventSink events,
      SplittableRandom random) {
    this.dataCentre = dataCentre;
    this.retryLimits = retryLimits;
    this.servers = servers;
    this.events = events;
    this.random = random;
  }

  /** The configuration in force; empty before the first one. Safe to call from any thread. */
  public Optional<ForwardingConfiguration> configuration() {
    return configuration;
  }

  /** When the configuration was last proven to be the newest one. Safe to use from any thread. */
  public FreshnessProof freshnessProof() {
    return freshnessProof;
  }

  /** Version of the configuration in force; 0 before the first one. */
  public long configurationVersion() {
    return configuration.map(ForwardingConfiguration::version).orElse(0L);
  }

  /** Age of the proof that the configuration is the newest one. */
  public long proofAgeMillis() {
    return freshnessProof.ageMillis(System.nanoTime(), System.currentTimeMillis());
  }

  /** Takes a configuration into force; one that is not newer is ignored. */
  public void applyConfiguration(ForwardingConfiguration offered, String source) {
    if (configuration.isPresent() && offered.version() <= configuration.get().version()) {
      return;
    }
    configuration = Optional.of(offered);
    events.record(EventType.CONFIGURATION_IN_FORCE, EventSubject.NONE, offered.version(), source);
    servers.update(entries, offered, entriesSource);
    onCapacityChanged();
  }

  /** Takes over the backend servers that the directory lists. */
  public void updateServers(List<ServerEntry> listed, String source) {
    entries = entryRetention.merge(entries, listed, ServerEntry::id, System.nanoTime());
    lastListed = List.copyOf(listed);
    entriesSource = source;
    configuration.ifPresent(current -> servers.update(entries, current, source));
    onCapacityChanged();
  }

  /** The directory is back after an outage, during which entries of living servers may lapse. */
  public void onDirectoryRecovered() {
    entryRetention.start(System.nanoTime());
  }

  /** Removes servers whose entries did not return after an outage. */
  public void endEntryRetention() {
    if (entryRetention.pollEnded(System.nanoTime())) {
      updateServers(lastListed, entriesSource);
    }
  }

  /** Replaces what is known of the work of another instance. */
  public void updatePeerWork(String instanceId, Map<String, OutstandingWork> workByServer) {
    servers.updatePeerWork(instanceId, workByServer);
    onCapacityChanged();
  }

  /** Sets what is called when servers or reports show room that other instances see as well. */
  public void onSharedCapacity(Runnable listener) {
    sharedCapacityListener = listener;
  }

  /**
   * Waiting calls of plain services are placed at once, since a server queues a few of them.
   * Generations wait for the listener to call {@link #placeAllQueued()}.
   */
  private void onCapacityChanged() {
    dispatchers.values().stream()
        .filter(dispatcher -> !dispatcher.placesGenerations())
        .toList()
        .forEach(ServiceDispatcher::placeQueued);
    if (queueLength() > 0) {
      sharedCapacityListener.run();
    }
  }

  /** Sets which backend servers this instance sends requests to. */
  public void setServerFilter(Predicate<BackendServer> predicate) {
    serverFilter = predicate;
  }

  /** Whether this instance sends requests to a backend server. */
  boolean isUsable(BackendServer server) {
    return serverFilter.test(server);
  }

  /** Sets the number of instances that share the retry budget. */
  public void setInstanceCount(int count) {
    instanceCount = Math.max(1, count);
  }

  /** Number of instances that share the retry budget. */
  public int instanceCount() {
    return instanceCount;
  }

  /** The backend servers. */
  public ServerTable servers() {
    return servers;
  }

  /** The dispatcher of a service. */
  ServiceDispatcher dispatcher(String service) {
    return dispatchers.computeIfAbsent(service, this::createDispatcher);
  }

  private ServiceDispatcher createDispatcher(String service) {
    boolean isEngine =
        configuration
            .flatMap(current -> Optional.ofNullable(current.services().get(service)))
            .flatMap(ForwardingService::engine)
            .isPresent();
    ServerSelector selector =
        isEngine
            ? new EarliestFirstTokenSelector(dataCentre, FIRST_TOKEN_LIMIT_NANOS, random)
            : new LeastOccupiedSelector(dataCentre, random);
    return new ServiceDispatcher(
        service,
        isEngine,
        servers,
        this::isUsable,
        this::instanceCount,
        selector,
        retryLimits.newBudget());
  }

  /** Places requests that wait for any service. */
  public void placeAllQueued() {
    List.copyOf(dispatchers.values()).forEach(ServiceDispatcher::placeQueued);
  }

  /** Requests that wait for a backend server, of all services. */
  public int queueLength() {
    return dispatchers.values().stream().mapToInt(ServiceDispatcher::queueLength).sum();
  }

  /** Closes connections that have been idle for too long. */
  public void closeIdleConnections() {
    servers.allServers().forEach(server -> server.connections().closeExpired());
  }

  /**
   * Limits on requests that are sent again, for all instances together.
   *
   * @param ratio repeated requests per request of the window
   * @param fixedRetries repeated requests per window beyond the ratio
   * @param windowNanos length of the sliding window
   */
  public record RetryLimits(double ratio, double fixedRetries, long windowNanos) {
    WindowedRetryBudget newBudget() {
      return new WindowedRetryBudget(ratio, fixedRetries, windowNanos);
    }
  }
}
