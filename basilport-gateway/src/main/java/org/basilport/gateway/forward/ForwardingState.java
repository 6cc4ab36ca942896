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
import org.basilport.gateway.backend.EvacuatedDataCentres;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.policy.dispatch.EarliestFirstTokenSelector;
import org.basilport.policy.dispatch.ExpiredEntryRetention;
import org.basilport.policy.dispatch.FreshnessProof;
import org.basilport.policy.dispatch.LeastOccupiedSelector;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PauseDetector;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.StoreCompleteness;
import org.basilport.policy.dispatch.StoreRead;
import org.basilport.policy.dispatch.WindowedRetryBudget;

/**
 * The applied configuration and the backend servers of an instance.
 *
 * <p>Confined to the event loop thread, except {@link #configuration()} and {@link
 * #freshnessProof()}.
 */
public final class ForwardingState {
  /** Time without a periodic task above which the process was paused; the interval is 200 ms. */
  private static final long PAUSE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /**
   * Time after an outage of the directory in which live servers are listed again (about two
   * seconds), less the tolerance of the drain period.
   */
  private static final long ENTRY_RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);

  /**
   * Retention of an instance that polls the servers: an interval of 2.5 s and the age of a stale
   * list come on top.
   */
  private static final long POLLED_ENTRY_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(7);

  private final String dataCentre;
  private final RetryLimits retryLimits;
  private final ServerTable servers;
  private final EvacuatedDataCentres evacuations;
  private final EventSink events;
  private final SplittableRandom random;
  private final FreshnessProof freshnessProof = new FreshnessProof();
  private final StoreCompleteness storeCompleteness;
  private final StreamVersions streamVersions;
  private final PauseDetector pauseDetector = new PauseDetector(PAUSE_THRESHOLD_NANOS);
  private final Map<String, ServiceDispatcher> dispatchers = new HashMap<>();
  private volatile Optional<ForwardingConfiguration> configuration = Optional.empty();
  private final ExpiredEntryRetention entryRetention = new ExpiredEntryRetention();
  private List<ServerEntry> entries = List.of();
  private List<ServerEntry> lastListed = List.of();
  private String entriesSource = "";
  private Predicate<BackendServer> serverFilter = server -> true;
  private int instanceCount = 1;
  private Optional<Contention> contention = Optional.empty();
  private Runnable sharedCapacityListener = this::placeAllQueued;
  private Optional<LoadSharing> loadSharing = Optional.empty();

  /**
   * Creates a state without configuration and servers.
   *
   * @param firstStart whether the fleet starts for the first time
   */
  public ForwardingState(
      String dataCentre,
      boolean firstStart,
      RetryLimits retryLimits,
      ServerTable servers,
      EventSink events,
      SplittableRandom random) {
    this.dataCentre = dataCentre;
    this.storeCompleteness = new StoreCompleteness(firstStart);
    this.retryLimits = retryLimits;
    this.servers = servers;
    this.evacuations = new EvacuatedDataCentres(servers, events);
    this.events = events;
    this.random = random;
    servers.onRefusals(this::rejectHopeless);
    servers.onPauseEnd(this::placeAllQueued);
    this.streamVersions =
        new StreamVersions(
            servers.eventLoop(),
            firstStart,
            this::instanceCount,
            storeCompleteness::completeIncarnation);
  }

  /** Sets the knowledge for shared load; to be called before the first request. */
  public void setLoadSharing(Optional<LoadSharing> sharing) {
    loadSharing = sharing;
  }

  /** Knowledge for shared load; empty where the load is not shared. */
  Optional<LoadSharing> loadSharing() {
    return loadSharing;
  }

  /** The applied configuration; empty before the first one. Safe to call from any thread. */
  public Optional<ForwardingConfiguration> configuration() {
    return configuration;
  }

  /** Longest time for which a server of any service stays cold after its start; 0 if none does. */
  public long longestColdStartNanos() {
    return configuration.stream()
        .flatMap(current -> current.services().values().stream())
        .flatMap(service -> service.coldStart().stream())
        .mapToLong(coldStart -> coldStart.duration().toNanos())
        .max()
        .orElse(0);
  }

  /** The workspace that holds an access key; empty if the key is unknown. */
  Optional<String> workspaceOfKey(String accessKey) {
    return configuration.flatMap(current -> current.keyHolder(accessKey)).map(KeyHolder::workspace);
  }

  /** Proof that the applied configuration is the latest one. Safe to use from any thread. */
  public FreshnessProof freshnessProof() {
    return freshnessProof;
  }

  /** Whether the store holds everything that it confirmed. Safe to use from any thread. */
  public StoreCompleteness storeCompleteness() {
    return storeCompleteness;
  }

  /** Versions at which streams may be taken up. */
  public StreamVersions streamVersions() {
    return streamVersions;
  }

  /** Records a read that returned the applied configuration or an older one. */
  public void recordConfigurationRead(StoreRead read) {
    long completeBefore = storeCompleteness.completeIncarnation();
    if (storeCompleteness.proves(read, System.nanoTime())) {
      freshnessProof.record(read.startNanos(), read.startWallMillis());
    }
    recordCompleteness(completeBefore, "time since its return");
  }

  /** Records that another instance found an incarnation of the store to be complete. */
  public void confirmStoreIncarnation(long incarnation, String source) {
    long completeBefore = storeCompleteness.completeIncarnation();
    storeCompleteness.confirm(incarnation);
    recordCompleteness(completeBefore, source);
  }

  /** Records that an incarnation was known to be complete before this instance started. */
  public void confirmStoreIncarnationBeforeStart(long incarnation) {
    long completeBefore = storeCompleteness.completeIncarnation();
    storeCompleteness
        .confirmBeforeStart(incarnation)
        .ifPresent(read -> freshnessProof.record(read.startNanos(), read.startWallMillis()));
    recordCompleteness(completeBefore, "entries of the instances");
  }

  private void recordCompleteness(long completeBefore, String source) {
    long complete = storeCompleteness.completeIncarnation();
    if (complete > completeBefore) {
      events.record(EventType.PLATFORM_COMPLETE, EventSubject.NONE, complete, source);
    }
  }

  /** Whether this process was paused and has not resumed its periodic tasks. */
  public boolean paused() {
    return pauseDetector.pauseNanos(System.nanoTime(), System.currentTimeMillis()) > 0;
  }

  /** Detector of pauses of this process. */
  public PauseDetector pauseDetector() {
    return pauseDetector;
  }

  /** Version of the applied configuration; 0 before the first one. */
  public long configurationVersion() {
    return configuration.map(ForwardingConfiguration::version).orElse(0L);
  }

  /** Age of the freshness proof in milliseconds; {@link Long#MAX_VALUE} without a valid proof. */
  public long proofAgeMillis() {
    return freshnessProof.ageMillis(System.nanoTime(), System.currentTimeMillis());
  }

  /** Applies a configuration; one whose version is not newer is ignored. */
  public void applyConfiguration(ForwardingConfiguration offered, String source) {
    if (configuration.isPresent() && offered.version() <= configuration.get().version()) {
      if (offered.version() < configuration.get().version()) {
        events.record(
            EventType.CONFIGURATION_OLDER,
            EventSubject.NONE,
            offered.version(),
            source,
            configuration.get().version());
      }
      return;
    }
    configuration = Optional.of(offered);
    events.record(EventType.CONFIGURATION_IN_FORCE, EventSubject.NONE, offered.version(), source);
    streamVersions.setLongestTimeout(offered.longestStreamTimeout().toNanos());
    servers.update(entries, offered, entriesSource);
    onCapacityChanged();
  }

  /** Replaces the backend servers by those that the directory lists. */
  public void updateServers(List<ServerEntry> listed, String source) {
    entries =
        entryRetention.merge(
            entries, listed, ServerEntry::id, ServerEntry::latest, System.nanoTime());
    lastListed = List.copyOf(listed);
    streamVersions.list(entries);
    entriesSource = source;
    configuration.ifPresent(current -> servers.update(entries, current, source));
    onCapacityChanged();
  }

  /**
   * Retains missing entries for a while: entries of running servers may have expired during an
   * outage of the directory.
   */
  public void onDirectoryRecovered() {
    entryRetention.start(System.nanoTime(), ENTRY_RETENTION_NANOS);
  }

  /**
   * Retains entries for a while that a directory lacks after it returned from an older copy.
   *
   * @param watching whether this instance hears of changes at once; otherwise it lists the servers
   *     at intervals
   */
  public void onDirectoryReturnedOlder(boolean watching) {
    entryRetention.start(
        System.nanoTime(), watching ? ENTRY_RETENTION_NANOS : POLLED_ENTRY_RETENTION_NANOS);
    streamVersions.saveAgain();
  }

  /** Removes the servers that were not listed again within the retention period after an outage. */
  public void endEntryRetention() {
    if (entryRetention.pollEnded(System.nanoTime())) {
      updateServers(lastListed, entriesSource);
    }
  }

  /** Records a report of another instance, also if its work has not changed. */
  public void recordPeerReport(String instanceId) {
    loadSharing.ifPresent(sharing -> sharing.recordReport(instanceId));
  }

  /** Replaces the work that another instance last reported. */
  public void updatePeerWork(String instanceId, Map<String, OutstandingWork> workByServer) {
    servers.updatePeerWork(instanceId, workByServer);
    onCapacityChanged();
  }

  /** Sets the listener for free capacity that other instances see at the same time. */
  public void onSharedCapacity(Runnable listener) {
    sharedCapacityListener = listener;
  }

  /**
   * Places queued calls of services without engines immediately, since their servers queue a few of
   * them. Queued generations wait until the listener calls {@link #placeAllQueued()}.
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

  /** Sets the filter of the backend servers that this instance uses. */
  public void setServerFilter(Predicate<BackendServer> predicate) {
    serverFilter = predicate;
  }

  /** Whether this instance uses a backend server. */
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

  public ServerTable servers() {
    return servers;
  }

  /** Data centres to which nothing is sent. */
  public EvacuatedDataCentres evacuations() {
    return evacuations;
  }

  /** The dispatcher of a service; created on first use. */
  ServiceDispatcher dispatcher(String service) {
    return dispatchers.computeIfAbsent(service, this::createDispatcher);
  }

  private ServiceDispatcher createDispatcher(String service) {
    boolean isEngine =
        configuration
            .flatMap(current -> Optional.ofNullable(current.services().get(service)))
            .flatMap(ForwardingService::engine)
            .isPresent();
    ServiceDispatcher dispatcher =
        new ServiceDispatcher(
            service,
            isEngine,
            servers,
            this::isUsable,
            this::instanceCount,
            selector(service, isEngine),
            retryLimits.newBudget());
    contention.ifPresent(dispatcher::shareQueue);
    return dispatcher;
  }

  /** Orders the queues by usage; to be called before the first request. */
  public void shareQueues(Contention shared) {
    contention = Optional.of(shared);
  }

  /** State of the queues that are ordered by usage; empty if they are ordered by arrival. */
  public Optional<Contention> contention() {
    return contention;
  }

  /** Number of queued requests that are ordered by usage. */
  public int contendedQueueLength() {
    return dispatchers.values().stream().mapToInt(ServiceDispatcher::contendedQueueLength).sum();
  }

  /** Creates the selector of a service. */
  ServerSelector selector(String service, boolean isEngine) {
    if (isEngine) {
      EarliestFirstTokenSelector engines =
          new EarliestFirstTokenSelector(
              dataCentre, EarliestFirstTokenSelector.FIRST_TOKEN_LIMIT_NANOS, random);
      return loadSharing.map(sharing -> sharing.engines(service, engines)).orElse(engines);
    }
    LeastOccupiedSelector applicationServers = new LeastOccupiedSelector(dataCentre, random);
    return loadSharing
        .map(sharing -> sharing.applicationServers(service, applicationServers))
        .orElse(applicationServers);
  }

  /** Places the queued requests of all services. */
  public void placeAllQueued() {
    List.copyOf(dispatchers.values()).forEach(ServiceDispatcher::placeQueued);
  }

  /** Rejects the queued requests that no server takes while they can wait. */
  private void rejectHopeless() {
    List.copyOf(dispatchers.values()).forEach(ServiceDispatcher::rejectHopeless);
  }

  /** Number of queued requests of all services. */
  public int queueLength() {
    return dispatchers.values().stream().mapToInt(ServiceDispatcher::queueLength).sum();
  }

  /** Closes the connections to backend servers whose idle timeout has expired. */
  public void closeIdleConnections() {
    servers.allServers().forEach(server -> server.connections().closeExpired());
  }

  /**
   * Limits on retries, for all instances together.
   *
   * @param ratio retries per request of the window
   * @param fixedRetries retries per window in addition to the ratio
   * @param windowNanos length of the sliding window
   */
  public record RetryLimits(double ratio, double fixedRetries, long windowNanos) {
    WindowedRetryBudget newBudget() {
      return new WindowedRetryBudget(ratio, fixedRetries, windowNanos);
    }
  }
}
