package org.basilport.router;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilport.backend.BackendView;
import org.basilport.backend.CommonBackendView;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.CommonConfigurationStore;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.ConfigurationPropagation;
import org.basilport.config.ConfigurationStore;
import org.basilport.config.ConfigurationView;
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
import org.basilport.store.BudgetedInstanceDirectory;
import org.basilport.store.BudgetedObjectStore;
import org.basilport.store.PlatformGate;

/** The control plane of an instance: one round every 500 ms on the control scheduler. */
public final class DefaultControlPlane implements ControlPlane {
  private static final Duration ROUND = Duration.ofMillis(500);
  private static final Duration MAX_LATENESS = Duration.ofSeconds(2);
  private static final Duration RECHECK_LIMIT = Duration.ofSeconds(1);
  private static final Duration PEER_SILENCE = Duration.ofSeconds(2);
  private static final int PARTNERS_PER_ROUND = 2;
  private static final int PUSH_PEERS = 3;

  private final InstanceSettings settings;
  private final Scheduler control;
  private final Timeline timeline;
  private final PeerConnector peers;
  private final PlatformGate gate;
  private final ObjectStore rateLimitedStore;
  private final CommonConfigurationStore configurationStore;
  private final GossipMembership membership;
  private final RendezvousLocator locator;
  private final ConfigurationPropagation configuration;
  private final CommonBackendView backends;
  private final GossipExchange gossip;
  private Cancellable rounds = () -> {};
  private boolean started;
  private boolean pushPending;
  private long rechecks;
  private volatile long lastRound;
  private volatile boolean rechecking;

  /** Creates a control plane that finds its first peers in the instance list. */
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
        new GossipMembership(self(settings), seedPeers, control, random.split(), timeline);
    this.locator = new RendezvousLocator(membership);
    this.gate =
        new PlatformGate(
            control,
            timeline,
            random.split(),
            membership::liveInstances,
            settings.fleetWritesPerSecond(),
            settings.fleetReadsPerSecond());
    this.rateLimitedStore = new BudgetedObjectStore(store, gate);
    this.configurationStore =
        new CommonConfigurationStore(rateLimitedStore, control::now, timeline);
    this.gossip =
        new GossipExchange(settings.instanceId(), timeline.clock(), peers, control, timeline);
    this.configuration =
        new ConfigurationPropagation(
            configurationStore, membership, peers, control, timeline, this::push);
    this.backends =
        new CommonBackendView(
            membership,
            new BudgetedInstanceDirectory(directory, gate),
            configuration,
            engines,
            services,
            control,
            random.split(),
            timeline,
            this::push);
    gossip.addParticipant(membership);
    gossip.addParticipant(configuration);
    gossip.addParticipant(backends);
  }

  /** The object API within this instance's call budget; all other users of it share this one. */
  public ObjectStore rateLimitedStore() {
    return rateLimitedStore;
  }

  /** Counts and state of the calls to the platform. */
  public PlatformGate platformGate() {
    return gate;
  }

  /** Tells that a backend server refused a connection for a request; any thread. */
  public void connectionRefused(String serverId, long incarnation) {
    backends.connectionRefused(serverId, incarnation);
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.runAsync(
        () -> {
          if (!started) {
            started = true;
            lastRound = control.nanoTime();
            timeline.record(
                EventType.INSTANCE_STARTED,
                EventSubject.NONE,
                settings.instanceId(),
                settings.incarnation());
            round();
            rounds = control.scheduleRepeating(ROUND, this::round);
          }
        },
        control);
  }

  @Override
  public CompletableFuture<Void> stop() {
    return CompletableFuture.runAsync(
        () -> {
          rounds.cancel();
          rounds = () -> {};
          if (started) {
            started = false;
            membership.status(MemberStatus.LEFT);
            gossip.exchangeWith(membership.randomPeers(PUSH_PEERS));
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
              becomeServing();
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
    long silent = control.nanoTime() - lastRound;
    return !rechecking && silent <= ROUND.plus(MAX_LATENESS).toNanos();
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
    control.execute(this::push);
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
          push();
        });
  }

  @Override
  public PeerClient peerEndpoint(IsolationHandler isolation, Consumer<String> onDrain) {
    return new ControlEndpoint(control, gossip, configuration, timeline, isolation, onDrain);
  }

  private void round() {
    long now = control.nanoTime();
    long late = now - lastRound - ROUND.toNanos();
    lastRound = now;
    if (late > MAX_LATENESS.toNanos()) {
      recheck(Duration.ofNanos(late));
    }
    boolean hasPeers = gossip.heardWithin(PEER_SILENCE);
    membership.tick();
    becomeServing();
    configuration.tick(hasPeers);
    backends.tick(hasPeers);
    gossip.exchangeWith(membership.partners(PARTNERS_PER_ROUND));
  }

  private void recheck(Duration late) {
    timeline.record(
        EventType.INSTANCE_PAUSED, EventSubject.NONE, settings.instanceId(), late.toMillis());
    rechecking = true;
    membership.excuse(late);
    List<String> asked = membership.randomPeers(PUSH_PEERS);
    long recheck = ++rechecks;
    control.schedule(RECHECK_LIMIT, () -> recheckEnded(recheck));
    configuration
        .recheck(asked)
        .whenCompleteAsync((ignored, failure) -> recheckEnded(recheck), control);
    backends.refresh();
    gossip.exchangeWith(asked);
  }

  private void recheckEnded(long recheck) {
    if (recheck == rechecks) {
      rechecking = false;
    }
  }

  private void becomeServing() {
    if (configuration.current().isPresent()
        && membership.self().status() == MemberStatus.STARTING) {
      membership.status(MemberStatus.SERVING);
      timeline.record(
          EventType.INSTANCE_READY,
          EventSubject.NONE,
          settings.instanceId(),
          configuration.current().get().number());
      push();
    }
  }

  private void push() {
    if (!pushPending) {
      pushPending = true;
      control.execute(
          () -> {
            pushPending = false;
            gossip.exchangeWith(membership.randomPeers(PUSH_PEERS));
          });
    }
  }

  private static Member self(InstanceSettings settings) {
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
