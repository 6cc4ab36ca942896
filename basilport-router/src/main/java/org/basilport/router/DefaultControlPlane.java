package org.basilport.router;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilport.backend.BackendView;
import org.basilport.backend.GossipBackendView;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.ConfigurationPropagation;
import org.basilport.config.ConfigurationStore;
import org.basilport.config.ConfigurationView;
import org.basilport.config.PlatformConfigurationStore;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Timeline;
import org.basilport.membership.GossipMembership;
import org.basilport.membership.Locator;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.membership.MemberStatus;
import org.basilport.membership.MembershipView;
import org.basilport.membership.RendezvousLocator;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.peer.GossipExchange;
import org.basilport.peer.GossipParticipant;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerConnector;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.ObjectStore;
import org.basilport.quarantine.IsolationHandler;
import org.basilport.service.ServiceReplicaConnector;
import org.basilport.store.PlatformCallLimiter;
import org.basilport.store.RateLimitedInstanceDirectory;
import org.basilport.store.RateLimitedObjectStore;

/** Control plane of an instance; runs one round every 500 ms on the control scheduler. */
public final class DefaultControlPlane implements ControlPlane {
  private static final Duration ROUND_INTERVAL = Duration.ofMillis(500);

  /** A round that is delayed by more than this indicates a pause of the process. */
  private static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(2);

  private static final Duration RECHECK_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration PEER_CONTACT_WINDOW = Duration.ofSeconds(2);
  private static final int GOSSIP_PEERS_PER_ROUND = 2;
  private static final int PEERS_PER_PUSH = 3;

  private final InstanceSettings settings;
  private final Scheduler control;
  private final Timeline timeline;
  private final PeerConnector peers;
  private final PlatformCallLimiter platformCallLimiter;
  private final ObjectStore rateLimitedStore;
  private final PlatformConfigurationStore configurationStore;
  private final GossipMembership membership;
  private final RendezvousLocator locator;
  private final ConfigurationPropagation configuration;
  private final GossipBackendView backends;
  private final GossipExchange gossip;
  private Cancellable roundTimer = () -> {};
  private boolean started;
  private boolean pushScheduled;
  private long lastRecheckId;
  private volatile long lastRoundNanos;
  private volatile boolean rechecking;

  /** Creates a control plane that takes its first peers from the instance directory. */
  public DefaultControlPlane(
      InstanceSettings settings,
      ObjectStore store,
      InstanceDirectory directory,
      PeerConnector peers,
      ModelEngineConnector engines,
      ServiceReplicaConnector services,
      Scheduler control,
      Timeline timeline,
      SplittableRandom random) {
    this(
        settings, store, directory, peers, engines, services, control, timeline, random, List.of());
  }

  /**
   * Creates a control plane.
   *
   * @param seedPeers peer addresses to contact while no other instance is known, so that an
   *     instance can start while the platform is down
   */
  public DefaultControlPlane(
      InstanceSettings settings,
      ObjectStore store,
      InstanceDirectory directory,
      PeerConnector peers,
      ModelEngineConnector engines,
      ServiceReplicaConnector services,
      Scheduler control,
      Timeline timeline,
      SplittableRandom random,
      List<String> seedPeers) {
    this.settings = settings;
    this.control = control;
    this.timeline = timeline;
    this.peers = peers;
    this.membership =
        new GossipMembership(selfMember(settings), seedPeers, control, random.split(), timeline);
    this.locator = new RendezvousLocator(membership);
    this.platformCallLimiter =
        new PlatformCallLimiter(
            control,
            timeline,
            random.split(),
            membership::liveInstances,
            settings.fleetWritesPerSecond(),
            settings.fleetReadsPerSecond());
    this.rateLimitedStore = new RateLimitedObjectStore(store, platformCallLimiter);
    this.configurationStore =
        new PlatformConfigurationStore(rateLimitedStore, control::now, timeline);
    this.gossip =
        new GossipExchange(settings.instanceId(), timeline.clock(), peers, control, timeline);
    this.configuration =
        new ConfigurationPropagation(
            configurationStore, membership, peers, control, timeline, this::pushGossip);
    this.backends =
        new GossipBackendView(
            membership,
            new RateLimitedInstanceDirectory(directory, platformCallLimiter),
            configuration,
            engines,
            services,
            control,
            random.split(),
            timeline,
            this::pushGossip);
    gossip.addParticipant(membership);
    gossip.addParticipant(configuration);
    gossip.addParticipant(backends);
  }

  /** Returns the object store behind this instance's call rate limit, shared by all components. */
  public ObjectStore rateLimitedStore() {
    return rateLimitedStore;
  }

  /** Returns the limiter of platform calls, for its call counts and state. */
  public PlatformCallLimiter platformCallLimiter() {
    return platformCallLimiter;
  }

  /** Records that a backend server refused the connection of a request; safe from any thread. */
  public void recordRefusedConnection(String serverId, long incarnation) {
    backends.recordRefusedConnection(serverId, incarnation);
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.runAsync(
        () -> {
          if (!started) {
            started = true;
            lastRoundNanos = control.nanoTime();
            timeline.record(
                EventType.INSTANCE_STARTED,
                EventSubject.NONE,
                settings.instanceId(),
                settings.incarnation());
            runRound();
            roundTimer = control.scheduleRepeating(ROUND_INTERVAL, this::runRound);
          }
        },
        control);
  }

  @Override
  public CompletableFuture<Void> stop() {
    return CompletableFuture.runAsync(
        () -> {
          roundTimer.cancel();
          roundTimer = () -> {};
          if (started) {
            started = false;
            membership.status(MemberStatus.LEFT);
            gossip.exchangeWith(membership.randomPeers(PEERS_PER_PUSH));
          }
        },
        control);
  }

  @Override
  public ConfigurationView configuration() {
    return configuration;
  }

  @Override
  public ConfigurationStore configurations() {
    return configurationStore;
  }

  @Override
  public CompletableFuture<AcceptedConfiguration> apply(ConfigurationChange change) {
    return configurationStore
        .accept(change)
        .thenApplyAsync(
            accepted -> {
              configuration.adopt(accepted, change.author());
              startServingIfConfigured();
              return accepted;
            },
            control);
  }

  @Override
  public boolean configurationConfirmed(Duration within) {
    return configuration.confirmedWithin(within);
  }

  @Override
  public boolean acceptsRequests() {
    long elapsedNanos = control.nanoTime() - lastRoundNanos;
    return !rechecking && elapsedNanos <= ROUND_INTERVAL.plus(PAUSE_THRESHOLD).toNanos();
  }

  @Override
  public MembershipView membership() {
    return membership;
  }

  @Override
  public Locator locator() {
    return locator;
  }

  @Override
  public BackendView backends() {
    return backends;
  }

  @Override
  public PeerConnector peers() {
    return peers;
  }

  @Override
  public void addParticipant(GossipParticipant participant) {
    gossip.addParticipant(participant);
  }

  @Override
  public void triggerGossip() {
    control.execute(this::pushGossip);
  }

  @Override
  public void reportActiveStreams(int activeStreams) {
    control.execute(() -> membership.activeStreams(activeStreams));
  }

  @Override
  public void leave() {
    control.execute(
        () -> {
          membership.status(MemberStatus.LEAVING);
          pushGossip();
        });
  }

  @Override
  public PeerClient peerEndpoint(IsolationHandler isolation, Consumer<String> onDrain) {
    return new ControlEndpoint(control, gossip, configuration, timeline, isolation, onDrain);
  }

  private void runRound() {
    long now = control.nanoTime();
    long delay = now - lastRoundNanos - ROUND_INTERVAL.toNanos();
    lastRoundNanos = now;
    if (delay > PAUSE_THRESHOLD.toNanos()) {
      recheckAfterPause(Duration.ofNanos(delay));
    }
    boolean hasPeers = gossip.receivedWithin(PEER_CONTACT_WINDOW);
    membership.tick();
    startServingIfConfigured();
    configuration.tick(hasPeers);
    backends.tick(hasPeers);
    gossip.exchangeWith(membership.gossipPeers(GOSSIP_PEERS_PER_ROUND));
  }

  private void recheckAfterPause(Duration delay) {
    timeline.record(
        EventType.INSTANCE_PAUSED, EventSubject.NONE, settings.instanceId(), delay.toMillis());
    rechecking = true;
    membership.discountPause(delay);
    List<String> peerAddresses = membership.randomPeers(PEERS_PER_PUSH);
    long recheckId = ++lastRecheckId;
    control.schedule(RECHECK_TIMEOUT, () -> finishRecheck(recheckId));
    configuration
        .refresh(peerAddresses)
        .whenCompleteAsync((ignored, failure) -> finishRecheck(recheckId), control);
    backends.refresh();
    gossip.exchangeWith(peerAddresses);
  }

  private void finishRecheck(long recheckId) {
    if (recheckId == lastRecheckId) {
      rechecking = false;
    }
  }

  private void startServingIfConfigured() {
    if (configuration.current().isPresent()
        && membership.self().status() == MemberStatus.STARTING) {
      membership.status(MemberStatus.SERVING);
      timeline.record(
          EventType.INSTANCE_READY,
          EventSubject.NONE,
          settings.instanceId(),
          configuration.current().get().number());
      pushGossip();
    }
  }

  private void pushGossip() {
    if (!pushScheduled) {
      pushScheduled = true;
      control.execute(
          () -> {
            pushScheduled = false;
            gossip.exchangeWith(membership.randomPeers(PEERS_PER_PUSH));
          });
    }
  }

  private static Member selfMember(InstanceSettings settings) {
    return new Member(
        settings.instanceId(),
        settings.incarnation(),
        MemberStatus.STARTING,
        MemberHealth.ALIVE,
        settings.region(),
        settings.dataCentre(),
        settings.address(),
        settings.peerAddress(),
        0,
        0);
  }
}
