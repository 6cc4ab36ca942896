package org.basilport.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.ColdStartShares;
import org.basilport.gateway.backend.EvacuatedDataCentres;
import org.basilport.gateway.backend.QuarantineArchive;
import org.basilport.gateway.backend.ServerEntry;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.gateway.backend.StoredQuarantine;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.forward.Contention;
import org.basilport.gateway.forward.ForwardingState;
import org.basilport.gateway.forward.HomeRegions;
import org.basilport.gateway.forward.LoadSharing;
import org.basilport.gateway.forward.RequestForwarder;
import org.basilport.gateway.forward.StreamArchive;
import org.basilport.gateway.frontend.FrontendServer;
import org.basilport.gateway.message.MessageCodec;
import org.basilport.gateway.peer.ConfigurationSubscription;
import org.basilport.gateway.peer.FleetClaims;
import org.basilport.gateway.peer.InstanceEntry;
import org.basilport.gateway.peer.LoadExchange;
import org.basilport.misc.LoggedTask;
import org.basilport.misc.Service;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.StoreCompleteness;
import org.basilport.policy.dispatch.StorePosition;
import org.basilport.policy.dispatch.StoreRead;

/**
 * Forwarding gateway of an instance. Configuration, backend servers and instances may be updated
 * from any thread; updates are applied on the event loop thread.
 */
public final class Gateway implements Service {
  /** Interval of periodic tasks: readiness, idle connections and queued requests. */
  private static final long HOUSEKEEPING_INTERVAL_MILLIS =
      PendingRequestQueue.PLACEMENT_INTERVAL_MILLIS;

  /** Interval at which a draining instance checks whether it may stop. */
  private static final long DRAIN_CHECK_INTERVAL_MILLIS = 50;

  /**
   * Largest age of the entries of the servers that an instance uses: an interval of 2.5 s between
   * two lists and the age of a list that may be outdated.
   */
  private static final long ENTRY_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final GatewaySettings settings;
  private final EventSink events;
  private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final ForwardingState state;
  private final RequestForwarder forwarder;
  private final FrontendServer frontend;
  private final LoadExchange loadExchange;
  private boolean draining;
  private boolean configurationProven;
  private volatile boolean ready;
  private final AddressDirectory directory;

  /** Creates a gateway that accepts requests after its start. */
  public Gateway(
      GatewaySettings settings, MessageCodec codec, EventSink events, MetricRegistry metrics) {
    this.settings = settings;
    this.events = events;
    ColdStartShares coldStarts =
        new ColdStartShares(
            settings.instanceId(), settings.placementRules().coldStartLimits(), events);
    ServerTable servers =
        new ServerTable(settings.instanceId(), eventLoop, codec, events, coldStarts);
    this.state =
        new ForwardingState(
            settings.dataCentre(),
            settings.firstStart(),
            settings.retryLimits(),
            servers,
            events,
            new SplittableRandom());
    if (settings.placementRules().evacuationLimit().isPresent()) {
      followEvacuations(coldStarts, metrics);
    }
    HomeRegions homeRegions =
        new HomeRegions(settings.placementRules().regions(), state::configuration, metrics);
    state.setLoadSharing(
        LoadSharing.of(settings.placementRules(), metrics, new SplittableRandom()));
    if (settings.placementRules().sharesLoad()) {
      shareQueues(metrics);
    }
    this.forwarder =
        new RequestForwarder(
            eventLoop, codec, state, events, metrics, settings.forwardingLimits(), homeRegions);
    this.frontend =
        new FrontendServer(
            settings.frontend(),
            eventLoop,
            forwarder,
            () ->
                state
                    .configuration()
                    .map(ForwardingConfiguration::limits)
                    .orElse(FrontendLimits.INITIAL));
    this.loadExchange =
        new LoadExchange(
            settings.peerAddress(),
            eventLoop,
            settings.instanceId(),
            settings.firstStart(),
            settings.frontendAddress(),
            state,
            events);
    loadExchange.setRegion(settings.placementRules().region());
    this.directory =
        new AddressDirectory(
            settings.frontendAddress(),
            settings.placementRules().region(),
            homeRegions,
            events,
            metrics);
    registerMetrics(servers, coldStarts, metrics);
  }

  /** The servers of a data centre that is used again may have turned cold meanwhile. */
  private void followEvacuations(ColdStartShares coldStarts, MetricRegistry metrics) {
    state.evacuations().activate(metrics);
    state
        .evacuations()
        .onRestored(
            (dataCentre, now) ->
                coldStarts.markCold(dataCentre, state.longestColdStartNanos() + ENTRY_AGE_NANOS));
  }

  private void registerMetrics(
      ServerTable servers, ColdStartShares coldStarts, MetricRegistry metrics) {
    metrics.counter("forward.leaving_notices", servers::leavingNotices);
    metrics.counter("forward.invalid_answers", servers::answerProblems);
    metrics.counter("forward.pause_notices", () -> servers.pauses().notices());
    metrics.gauge("cold.servers", () -> coldStarts::coldServers);
    metrics.counter("cold.sends", coldStarts::sends);
    metrics.counter("cold.deferred", coldStarts::deferred);
    metrics.gauge("forward.open", () -> forwarder::openRequests);
    metrics.gauge("forward.waiting", () -> state::queueLength);
  }

  private void shareQueues(MetricRegistry metrics) {
    Contention contention = new Contention(new SplittableRandom());
    state.shareQueues(contention);
    metrics.gauge("queue.contended", () -> state::contendedQueueLength);
    metrics.counter("queue.refused_at_once", contention::refusedAtOnce);
    metrics.counter("queue.returned_in_time", contention::returnedInTime);
    metrics.histogram("queue.retry_after_ms", contention::retryAfterMillis);
  }

  /** Sets the subscription to the configuration; to be called before the start. */
  public void setConfigurationSubscription(ConfigurationSubscription subscription) {
    loadExchange.setConfigurationSubscription(subscription);
  }

  /** Sets the archive of quarantines; to be called before the start. */
  public void setQuarantineArchive(QuarantineArchive archive) {
    state.servers().crashMonitor().setArchive(archive);
  }

  /** Adds quarantines that were stored before the start of this instance. */
  public void addStoredQuarantines(List<StoredQuarantine> quarantines) {
    eventLoop.execute(() -> state.servers().crashMonitor().addStored(quarantines));
  }

  @Override
  public CompletableFuture<Void> start() {
    return loadExchange
        .start()
        .thenCompose(done -> frontend.start())
        .thenRun(
            () ->
                eventLoop.scheduleWithFixedDelay(
                    new LoggedTask(this::housekeeping),
                    HOUSEKEEPING_INTERVAL_MILLIS,
                    HOUSEKEEPING_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS));
  }

  private void housekeeping() {
    long pause = state.pauseDetector().tick(System.nanoTime(), System.currentTimeMillis());
    if (pause > 0) {
      events.record(
          EventType.INSTANCE_PAUSED,
          EventSubject.NONE,
          settings.instanceId(),
          TimeUnit.NANOSECONDS.toMillis(pause));
    }
    long age = state.proofAgeMillis();
    boolean nowProven = age <= settings.maxReadinessProofAge().toMillis();
    if (nowProven != configurationProven && state.configuration().isPresent()) {
      events.record(
          nowProven ? EventType.CONFIGURATION_PROVEN : EventType.CONFIGURATION_UNPROVEN,
          EventSubject.NONE,
          state.configurationVersion(),
          age);
      configurationProven = nowProven;
    }
    state.evacuations().observeAge(System.nanoTime(), System.currentTimeMillis());
    ready =
        configurationProven
            && !draining
            && state.configuration().isPresent()
            && state.evacuations().known();
    loadExchange.setReady(ready);
    directory.update(ready, loadExchange.readyAddresses());
    state.servers().crashMonitor().evaluate();
    state.endEntryRetention();
    state.closeIdleConnections();
    state.placeAllQueued();
  }

  /** Whether the instance accepts new requests. */
  public boolean ready() {
    return ready;
  }

  /** Addresses of ready instances to which callers may connect. Safe to use from any thread. */
  public AddressDirectory directory() {
    return directory;
  }

  /** Applies a configuration; one whose version is not newer is ignored. */
  public void applyConfiguration(ForwardingConfiguration configuration, String source) {
    eventLoop.execute(() -> state.applyConfiguration(configuration, source));
  }

  /**
   * Records a read of the configuration, which proves that the applied configuration was the latest
   * at its start if the store had lost nothing.
   */
  public void recordConfigurationRead(StoreRead read) {
    eventLoop.execute(() -> state.recordConfigurationRead(read));
  }

  /**
   * Applies a linearizable read of the evacuated data centres.
   *
   * @param position position of the store at the read
   */
  public void updateEvacuations(Set<String> dataCentres, StorePosition position, StoreRead read) {
    eventLoop.execute(
        () -> state.evacuations().apply(dataCentres, position, read, System.nanoTime()));
  }

  /** Adds a listener for the ends of evacuations, which is called on the event loop thread. */
  public void onDataCentreRestored(EvacuatedDataCentres.RestorationListener listener) {
    eventLoop.execute(() -> state.evacuations().onRestored(listener));
  }

  /** Records what instances had stored before this one started. */
  public void addFormerClaims(FleetClaims claims) {
    eventLoop.execute(
        () -> {
          state.confirmStoreIncarnationBeforeStart(claims.completeIncarnation());
          state.streamVersions().addServed(claims.servedVersions());
        });
  }

  /**
   * Replaces the software versions that instances claim to have served recently.
   *
   * @param versions versions by instance and service
   */
  public void updateClaimedVersions(Map<String, Map<String, Set<String>>> versions) {
    eventLoop.execute(() -> state.streamVersions().claim(versions));
  }

  /** Sets the archive of streams; to be called before the start. */
  public void setStreamArchive(StreamArchive archive) {
    state.streamVersions().setArchive(archive);
  }

  /** Whether the store holds everything that it confirmed. Safe to use from any thread. */
  public StoreCompleteness storeCompleteness() {
    return state.storeCompleteness();
  }

  /** Replaces the backend servers by those that the directory lists. */
  public void updateServers(List<ServerEntry> servers, String source) {
    eventLoop.execute(() -> state.updateServers(servers, source));
  }

  /**
   * Called after an outage of the directory, during which entries of running servers may have
   * expired.
   */
  public void onDirectoryRecovered() {
    eventLoop.execute(state::onDirectoryRecovered);
  }

  /** Called when the directory returned from an older copy, which lacks the latest entries. */
  public void onDirectoryReturnedOlder() {
    eventLoop.execute(loadExchange::onDirectoryReturnedOlder);
  }

  /** Replaces the registered instances. */
  public void updateInstances(List<InstanceEntry> instances) {
    eventLoop.execute(() -> loadExchange.updateInstances(instances));
  }

  /**
   * Stops being ready and completes when the requests in progress have ended and their responses
   * are written. Each response closes its connection; idle connections stay open for the minimum
   * duration, because a request may be on its way on any of them.
   *
   * @param minDuration minimum duration, during which callers with an outdated address list are
   *     still served
   * @param maxDuration maximum duration, after which requests in progress are ended
   */
  public CompletableFuture<Void> drain(Duration minDuration, Duration maxDuration) {
    CompletableFuture<Void> drained = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          draining = true;
          ready = false;
          events.record(
              EventType.INSTANCE_DRAINING,
              EventSubject.NONE,
              settings.instanceId(),
              "stop requested");
          loadExchange.setReady(false);
          forwarder.drain(maxDuration);
          eventLoop.schedule(frontend::stopAccepting, minDuration.toNanos(), TimeUnit.NANOSECONDS);
          awaitDrained(System.nanoTime(), minDuration, maxDuration, drained);
        });
    return drained;
  }

  private void awaitDrained(
      long startNanos,
      Duration minDuration,
      Duration maxDuration,
      CompletableFuture<Void> drained) {
    long elapsed = System.nanoTime() - startNanos;
    boolean idle =
        forwarder.openRequests() == 0
            && !frontend.transferring()
            && elapsed >= minDuration.toNanos();
    if (idle || elapsed >= maxDuration.toNanos()) {
      forwarder.endDrain();
      drained.complete(null);
      return;
    }
    eventLoop.schedule(
        () -> awaitDrained(startNanos, minDuration, maxDuration, drained),
        DRAIN_CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public CompletableFuture<Void> stop() {
    return frontend
        .stop()
        .thenCompose(done -> loadExchange.stop())
        .thenRun(() -> eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS));
  }
}
