package org.basilport.gateway.peer;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.forward.ForwardingState;
import org.basilport.misc.LoggedTask;
import org.basilport.misc.Service;
import org.basilport.policy.dispatch.CellPartition;
import org.basilport.policy.dispatch.FleetDiscovery;
import org.basilport.policy.dispatch.FreedCapacityDelay;
import org.basilport.policy.dispatch.HeartbeatSchedule;
import org.basilport.policy.dispatch.InstanceAddress;
import org.basilport.policy.dispatch.PeerLiveness;
import org.basilport.policy.dispatch.WatcherSelector;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ServerDeparture;

/**
 * Exchanges load and readiness reports between instances. Confined to the event loop thread.
 *
 * <p>A report is a complete snapshot, so that the next report replaces a lost one. Changes of the
 * work on a model engine are sent immediately to all instances that use the engine, because a few
 * requests fill it. Everything else is sent to the instances of the own cell at each heartbeat;
 * {@link CellPartition} defines the cells.
 */
public final class LoadExchange implements Service {
  /** Time for which changes are batched; the one-way latency between data centres is 1 to 2 ms. */
  private static final long BATCH_DELAY_MILLIS = 15;

  private final EventLoop eventLoop;
  private final String instanceId;
  private final String frontendAddress;
  private final ForwardingState state;
  private final EventSink events;
  private final PeerChannel channel;
  private final FreshnessExchange freshness;
  private final RunTimeExchange runTimes;
  private final long incarnation = System.currentTimeMillis();
  private final FleetDiscovery discovery;
  private final Map<String, ReceivedReport> peers = new HashMap<>();
  private final Set<String> silentPeers = new HashSet<>();
  private final FleetMembers members;
  private long partitionedRevision = -1;
  private boolean ready;
  private String region = "";
  private boolean watching;
  private final ClaimRecorder claims;
  private final PendingReport pendingReport = new PendingReport();
  private final FreedCapacityDelay freedCapacityDelay =
      new FreedCapacityDelay(new SplittableRandom());
  private boolean placementScheduled;
  private boolean flushScheduled;
  private final CrashReports crashReports;
  private final LimitReports limitReports;
  private final Optional<UsageReports> usageReports;
  private ConfigurationSubscription configurationSubscription;
  private long sequence;
  private long heartbeatCount;

  /** Creates an exchange that sends reports after its start. */
  public LoadExchange(
      InetSocketAddress address,
      EventLoop eventLoop,
      String instanceId,
      boolean firstStart,
      String frontendAddress,
      ForwardingState state,
      EventSink events) {
    this.eventLoop = eventLoop;
    this.instanceId = instanceId;
    this.members = new FleetMembers(instanceId);
    this.discovery = new FleetDiscovery(firstStart, System.nanoTime());
    this.frontendAddress = frontendAddress;
    this.state = state;
    this.events = events;
    this.channel = new PeerChannel(address, eventLoop, this::receive);
    this.freshness = new FreshnessExchange(instanceId, channel, state);
    this.runTimes = new RunTimeExchange(instanceId, channel);
    this.claims = new ClaimRecorder(state, firstStart);
    state.servers().onEngineWorkChange(this::onEngineWorkChange);
    this.crashReports =
        new CrashReports(state.servers().crashMonitor(), state::paused, System::nanoTime);
    state.servers().onDeparture(this::scheduleFlush);
    this.limitReports = new LimitReports(state.servers(), state::paused, System::nanoTime);
    this.usageReports =
        state.contention().map(shared -> new UsageReports(shared.usage(), state::paused));
    state.servers().limits().onChange(() -> schedule(PendingReport::addEvidenceForAll));
    state.servers().crashMonitor().onEvidence(() -> schedule(PendingReport::addEvidenceForAll));
    state
        .servers()
        .crashMonitor()
        .onQuarantineChange(() -> schedule(PendingReport::addEvidenceForNeighbours));
    state.onSharedCapacity(this::schedulePlacement);
  }

  /** Sets the source of the configuration; to be called before the start. */
  public void setConfigurationSubscription(ConfigurationSubscription subscription) {
    configurationSubscription = subscription;
    freshness.setConfigurationSubscription(subscription);
  }

  /** Sets the region of this instance; to be called before the start. */
  public void setRegion(String name) {
    region = name;
  }

  @Override
  public CompletableFuture<Void> start() {
    return channel
        .start()
        .thenRun(
            () ->
                eventLoop.scheduleWithFixedDelay(
                    new LoggedTask(this::heartbeat),
                    HeartbeatSchedule.INTERVAL_NANOS,
                    HeartbeatSchedule.INTERVAL_NANOS,
                    TimeUnit.NANOSECONDS));
  }

  @Override
  public CompletableFuture<Void> stop() {
    return channel.stop();
  }

  /** Sets whether this instance accepts new requests. */
  public void setReady(boolean value) {
    if (ready != value) {
      ready = value;
      send(members.addresses(Set.of(members.ownCell())));
    }
  }

  /** Replaces the registered instances, which receive the reports. */
  public void updateInstances(List<InstanceEntry> entries) {
    long now = System.nanoTime();
    members.update(entries, now);
    List<String> ids = entries.stream().map(InstanceEntry::id).toList();
    state.servers().coldStarts().updateInstances(ids, now);
    discovery.recordList(members.size() > 1, now);
    onMembersUpdated();
  }

  /** Keeps the present members and servers while lost entries are written again. */
  public void onDirectoryReturnedOlder() {
    members.retain(System.nanoTime());
    state.onDirectoryReturnedOlder(watching);
  }

  private void onMembersUpdated() {
    state.setInstanceCount(members.size());
    state.servers().limits().setFleetPosition(members.size(), members.rank());
    state.servers().pauses().setRank(members.rank());
    updateCells();
  }

  private void updateCells() {
    if (!members.changed() && state.servers().revision() == partitionedRevision) {
      return;
    }
    partitionedRevision = state.servers().revision();
    Set<String> engines = new HashSet<>();
    for (BackendServer server : state.servers().allServers()) {
      if (server.engine().isPresent() && !server.load().leaving()) {
        engines.add(server.entry().id());
      }
    }
    members.partition(engines).ifPresent(this::onCellsChanged);
  }

  private void onCellsChanged(CellPartition previousCells) {
    reportWorkToNewCells(previousCells);
    CellPartition cells = members.cells();
    int own = members.ownCell();
    state.setServerFilter(
        server ->
            cells.singleCell()
                || server.engine().isEmpty()
                || cells.cellsOfEngine(server.entry().id()).contains(own));
  }

  /**
   * Reports the own work on engines that were reassigned to other cells, whose instances do not
   * know it.
   */
  private void reportWorkToNewCells(CellPartition previousCells) {
    for (BackendServer server : state.servers().serversWithOwnWork()) {
      String id = server.entry().id();
      if (!previousCells.cellsOfEngine(id).equals(members.cells().cellsOfEngine(id))) {
        onEngineWorkChange(server);
      }
    }
  }

  /** Addresses of the ready instances that report to this one. */
  public List<InstanceAddress> readyAddresses() {
    return peers.values().stream()
        .map(ReceivedReport::report)
        .filter(report -> isReady(report.getInstanceId()))
        .map(runTimes::addressOf)
        .toList();
  }

  private void onEngineWorkChange(BackendServer server) {
    schedule(report -> report.addWork(server.entry().id()));
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      eventLoop.schedule(this::flush, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void schedule(Consumer<PendingReport> addition) {
    addition.accept(pendingReport);
    scheduleFlush();
  }

  private void flush() {
    flushScheduled = false;
    PendingReport.Audience audience = pendingReport.take(members.cells(), members.ownCell());
    send(
        audience.all() ? members.allAddresses() : members.addresses(audience.cells()),
        audience.withEvidence());
  }

  private void heartbeat() {
    judgePeers(System.nanoTime());
    if (members.endRetention(System.nanoTime())) {
      onMembersUpdated();
    }
    updateCells();
    updateWatching();
    if (configurationSubscription != null && discovery.listed()) {
      claims.record(watching, configurationSubscription);
    }
    int own = members.ownCell();
    boolean toNeighbours = heartbeatCount++ % HeartbeatSchedule.NEIGHBOUR_INTERVALS == 0;
    List<InetSocketAddress> receivers =
        members.addresses(toNeighbours ? affectedCells(own) : Set.of(own));
    send(
        usageReports
            .map(usage -> usage.withDistant(receivers, members.allAddresses()))
            .orElse(receivers));
    // Distant instances report one after the other; to ask each of them would double the datagrams.
    peers.values().stream()
        .map(ReceivedReport::report)
        .filter(report -> reportsRegularly(report) && isReady(report.getInstanceId()))
        .map(LoadReport::getInstanceId)
        .forEach(runTimes::ask);
  }

  /**
   * The own and neighbouring cells, and those that share an engine on which this instance has work.
   */
  private Set<Integer> affectedCells(int own) {
    Set<Integer> affectedCells = new HashSet<>(members.cells().neighbours(own));
    for (BackendServer server : state.servers().serversWithOwnWork()) {
      affectedCells.addAll(members.cells().cellsOfEngine(server.entry().id()));
    }
    return affectedCells;
  }

  private PeerLiveness liveness(ReceivedReport peer, long now) {
    long limit =
        isInOwnCell(peer.report())
            ? PeerLiveness.REPORT_TIMEOUT_NANOS
            : HeartbeatSchedule.NEIGHBOUR_INTERVALS * PeerLiveness.REPORT_TIMEOUT_NANOS;
    return PeerLiveness.of(now - peer.receivedNanos(), limit);
  }

  /**
   * Starts or stops watching the store according to the watcher selection; an instance that does
   * not watch requests proofs.
   */
  private void updateWatching() {
    long now = System.nanoTime();
    if (configurationSubscription == null || discovery.awaitsOthers(now)) {
      freshness.requestProof(List.of());
      return;
    }
    List<InstanceEntry> watcherCandidates = new ArrayList<>();
    // The own address is not used: an instance that is selected sends no requests for proofs.
    watcherCandidates.add(new InstanceEntry(instanceId, null));
    members.ownCellMembers().stream()
        .filter(entry -> discovery.countsSilentMembers(now) || isReady(entry.id()))
        .forEach(watcherCandidates::add);
    List<InstanceEntry> watchers =
        WatcherSelector.select(watcherCandidates, members.cells().singleCell(), InstanceEntry::id);
    boolean watches = watchers.stream().anyMatch(entry -> entry.id().equals(instanceId));
    if (watches != watching) {
      watching = watches;
      configurationSubscription.setWatching(watches);
    }
    if (!watches) {
      freshness.requestProof(addresses(watchers));
    }
  }

  /**
   * Whether an instance can be a watcher; one that is not ready may have no connection to the
   * store.
   */
  private boolean isReady(String id) {
    ReceivedReport peer = peers.get(id);
    return peer != null
        && peer.report().getReady()
        && liveness(peer, System.nanoTime()) == PeerLiveness.REPORTING;
  }

  private static List<InetSocketAddress> addresses(List<InstanceEntry> entries) {
    return entries.stream().map(InstanceEntry::peerAddress).toList();
  }

  private void send(List<InetSocketAddress> receivers) {
    send(receivers, true);
  }

  private void send(List<InetSocketAddress> receivers, boolean withEvidence) {
    LoadReport.Builder report =
        LoadReport.newBuilder()
            .setInstanceId(instanceId)
            .setIncarnation(incarnation)
            .setSequence(++sequence)
            .setReady(ready)
            .setFrontendAddress(frontendAddress)
            .setRegion(region)
            .setConfigurationVersion(state.configurationVersion())
            .setCompleteStoreIncarnation(state.storeCompleteness().completeIncarnation());
    state
        .servers()
        .recentDepartures()
        .forEach(
            (id, start) ->
                report.addDepartures(
                    ServerDeparture.newBuilder().setServerId(id).setIncarnation(start)));
    if (withEvidence) {
      crashReports.write(report);
      limitReports.write(report);
    }
    WorkReports.write(report, state.servers());
    if (withEvidence) {
      usageReports.ifPresent(usage -> usage.write(report));
    }
    channel.send(
        PeerDatagram.newBuilder().setSenderId(instanceId).setLoad(report).build(), receivers);
  }

  private void receive(PeerDatagram message, InetSocketAddress sender) {
    if (message.getSenderId().equals(instanceId)) {
      return;
    }
    switch (message.getContentCase()) {
      case LOAD:
        onReport(message.getLoad(), sender);
        break;
      case PROOF_REQUEST:
        freshness.onRequest(message.getProofRequest(), sender);
        break;
      case PROOF_REPLY:
        freshness.onReply(message.getProofReply());
        runTimes.onReply(message, sender);
        break;
      default:
        break;
    }
  }

  private void onReport(LoadReport report, InetSocketAddress sender) {
    ReceivedReport known = peers.get(report.getInstanceId());
    if (known != null && !known.isOlderThan(report)) {
      return;
    }
    peers.put(report.getInstanceId(), new ReceivedReport(report, System.nanoTime()));
    boolean started = runTimes.onReport(report, sender);
    if (reportsRegularly(report)) {
      state.recordPeerReport(report.getInstanceId());
      if (started) {
        runTimes.ask(report.getInstanceId());
      }
    }
    report
        .getDeparturesList()
        .forEach(
            departure ->
                state
                    .servers()
                    .markLeaving(
                        departure.getServerId(),
                        departure.getIncarnation(),
                        report.getInstanceId()));
    state.confirmStoreIncarnation(report.getCompleteStoreIncarnation(), report.getInstanceId());
    limitReports.read(report);
    usageReports.ifPresent(usage -> usage.read(report));
    if (crashReports.read(report)) {
      schedule(PendingReport::addEvidence);
    }
    boolean silentBefore = silentPeers.remove(report.getInstanceId());
    if (isInOwnCell(report)
        && (known == null || silentBefore || restarted(known.report(), report))) {
      events.record(
          EventType.MEMBER_JOINED,
          EventSubject.NONE,
          report.getInstanceId(),
          report.getIncarnation());
    }
    if (report.getConfigurationVersion() > state.configurationVersion()) {
      freshness.readStore();
    }
    if (known == null || !known.report().getWorkList().equals(report.getWorkList())) {
      state.updatePeerWork(report.getInstanceId(), WorkReports.read(report));
    }
  }

  /** Places queued requests after a random delay that differs among the instances. */
  private void schedulePlacement() {
    if (!placementScheduled) {
      placementScheduled = true;
      eventLoop.schedule(
          () -> {
            placementScheduled = false;
            state.placeAllQueued();
          },
          freedCapacityDelay.nextNanos(),
          TimeUnit.NANOSECONDS);
    }
  }

  /** Whether the sender reports each change of the engines that it shares with this instance. */
  private boolean reportsRegularly(LoadReport report) {
    return members
        .cells()
        .neighbours(members.ownCell())
        .contains(members.cells().cellOf(report.getInstanceId()));
  }

  private boolean isInOwnCell(LoadReport report) {
    return members.cells().cellOf(report.getInstanceId()) == members.ownCell();
  }

  private static boolean restarted(LoadReport known, LoadReport report) {
    return known.getIncarnation() != report.getIncarnation();
  }

  private void judgePeers(long now) {
    for (Map.Entry<String, ReceivedReport> peer : List.copyOf(peers.entrySet())) {
      String id = peer.getKey();
      switch (liveness(peer.getValue(), now)) {
        case SILENT:
          // An instance of another cell reports only while it shares an engine, so a missing
          // report does not mean that it is dead.
          if (silentPeers.add(id) && isInOwnCell(peer.getValue().report())) {
            events.record(EventType.MEMBER_DEAD, EventSubject.NONE, id);
          }
          break;
        case GONE:
          peers.remove(id);
          silentPeers.remove(id);
          runTimes.remove(id);
          state.updatePeerWork(id, Map.of());
          break;
        default:
          break;
      }
    }
  }
}
