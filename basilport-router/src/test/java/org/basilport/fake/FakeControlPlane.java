package org.basilport.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilport.backend.BackendListener;
import org.basilport.backend.BackendServer;
import org.basilport.backend.BackendView;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.ConfigurationStore;
import org.basilport.config.ConfigurationView;
import org.basilport.engine.EngineReport;
import org.basilport.membership.Location;
import org.basilport.membership.Locator;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.membership.MemberStatus;
import org.basilport.membership.MembershipView;
import org.basilport.peer.GossipParticipant;
import org.basilport.peer.PeerClient;
import org.basilport.peer.PeerConnector;
import org.basilport.protocol.GossipMessage;
import org.basilport.quarantine.IsolationHandler;
import org.basilport.router.ControlPlane;
import org.basilport.router.InstanceSettings;

/** Control plane of an instance of a {@link FakeFleet}; sees the fleet's state without delay. */
public final class FakeControlPlane implements ControlPlane, BackendView, MembershipView {
  private static final int GOSSIP_ROOM_BYTES = 2_500;

  /** Status that the instance reports of itself. */
  public MemberStatus status = MemberStatus.SERVING;

  private final FakeFleet fleet;
  private final InstanceSettings settings;
  private final List<BackendListener> listeners = new ArrayList<>();
  private final List<GossipParticipant> participants = new ArrayList<>();
  private IsolationHandler isolation;

  FakeControlPlane(FakeFleet fleet, InstanceSettings settings) {
    this.fleet = fleet;
    this.settings = settings;
  }

  void notifyCrash(BackendServer server) {
    listeners.forEach(listener -> listener.onCrash(server));
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    return CompletableFuture.completedFuture(null);
  }

  /** Reports the load of all engines to this instance. */
  public void reportEngines() {
    for (BackendServer server : servers()) {
      latestReport(server.id())
          .ifPresent(
              report -> listeners.forEach(listener -> listener.onLoadReport(server, report)));
    }
  }

  @Override
  public ConfigurationView configuration() {
    return () -> Optional.of(fleet.configuration);
  }

  @Override
  public ConfigurationStore configurations() {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<AcceptedConfiguration> apply(ConfigurationChange change) {
    throw new UnsupportedOperationException();
  }

  @Override
  public boolean configurationConfirmed(Duration within) {
    return true;
  }

  @Override
  public boolean acceptsRequests() {
    return true;
  }

  @Override
  public MembershipView membership() {
    return this;
  }

  @Override
  public Locator locator() {
    return (workspace, route, dataCentre) ->
        new Location(
            members().stream().filter(Member::serving).map(Member::address).toList(),
            Duration.ofSeconds(30));
  }

  @Override
  public BackendView backends() {
    return this;
  }

  @Override
  public PeerConnector peers() {
    return address ->
        new IsolationPeer(
            fleet.controlPlanes.stream()
                .filter(controlPlane -> controlPlane.settings.peerAddress().equals(address))
                .map(controlPlane -> controlPlane.isolation)
                .findFirst()
                .orElseThrow());
  }

  @Override
  public void addParticipant(GossipParticipant participant) {
    participants.add(participant);
  }

  @Override
  public void triggerGossip() {
    fleet.scheduler.execute(
        () -> {
          GossipMessage.Builder message = GossipMessage.newBuilder();
          participants.forEach(participant -> participant.contribute(message, GOSSIP_ROOM_BYTES));
          GossipMessage built = message.build();
          fleet.controlPlanes.forEach(
              controlPlane ->
                  controlPlane.participants.forEach(participant -> participant.receive(built)));
        });
  }

  @Override
  public void reportActiveStreams(int activeStreams) {}

  @Override
  public void leave() {
    status = MemberStatus.LEAVING;
  }

  @Override
  public PeerClient peerEndpoint(IsolationHandler handler, Consumer<String> onDrain) {
    isolation = handler;
    return new IsolationPeer(handler);
  }

  @Override
  public Member self() {
    return new Member(
        settings.instanceId(),
        settings.incarnation(),
        status,
        MemberHealth.ALIVE,
        settings.region(),
        settings.dataCentre(),
        settings.address(),
        settings.peerAddress(),
        1,
        0);
  }

  @Override
  public List<Member> members() {
    return fleet.controlPlanes.stream().map(FakeControlPlane::self).toList();
  }

  @Override
  public Optional<Member> owner(String key) {
    List<Member> serving = members().stream().filter(Member::serving).toList();
    return serving.isEmpty()
        ? Optional.empty()
        : Optional.of(serving.get(Math.floorMod(key.hashCode(), serving.size())));
  }

  @Override
  public List<BackendServer> candidates(String service) {
    return servers().stream()
        .filter(server -> server.service().equals(service) && !server.leaving())
        .toList();
  }

  @Override
  public Optional<BackendServer> find(String serverId) {
    return servers().stream().filter(server -> server.id().equals(serverId)).findFirst();
  }

  @Override
  public List<BackendServer> servers() {
    return List.copyOf(fleet.backends);
  }

  @Override
  public Optional<EngineReport> latestReport(String serverId) {
    return Optional.ofNullable(fleet.engines.get(serverId)).map(engine -> engine.snapshot(1));
  }

  @Override
  public void addListener(BackendListener listener) {
    listeners.add(listener);
  }
}
