package org.basilport.gateway.peer;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.forward.TrafficState;
import org.basilport.misc.Service;
import org.basilport.policy.dispatch.WatchDuty;
import org.basilport.policy.dispatch.WorkShare;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.PeerDatagram;
import org.basilport.protocol.ServerDeparture;
import org.basilport.protocol.ServerWork;

/**
 * Tells the other instances of the own work and readiness; confined to the traffic thread.
 *
 * <p>A report is a whole snapshot, so a lost one is replaced by the next. Changes of work on model
 * engines go to all instances at once, because a few requests fill an engine; the rest goes to some
 * of them at each interval.
 */
public final class LoadExchange implements Service {
  /** Interval of reports without a change. */
  private static final long HEARTBEAT_MILLIS = 250;

  /** Shortest interval between reports; a round trip between data centres takes 3 ms. */
  private static final long MIN_INTERVAL_MILLIS = 20;

  /** Silence after which an instance is considered dead: four reports were lost or not sent. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

  /** Instances that get a report without news; in a larger fleet they are drawn at random. */
  private static final int FANOUT = 12;

  private final EventLoop eventLoop;
  private final String instanceId;
  private final String dataCentre;
  private final String frontendAddress;
  private final TrafficState state;
  private final EventSink events;
  private final PeerChannel channel;
  private final FreshnessExchange freshness;
  private final long incarnation = System.currentTimeMillis();
  private final Random random = new Random();
  private final Map<String, Peer> peers = new HashMap<>();
  private List<InstanceEntry> registered = List.of();
  private boolean ready;
  private boolean watching = true;
  private ConfigurationSource source;
  private long sequence;
  private Map<String, WorkShare> lastEngineWork = Map.of();
  private Map<String, Long> lastDepartures = Map.of();
  private long lastVersion;
  private long lastSentNanos = System.nanoTime();

  /** Creates an exchange; it sends after its start. */
  public LoadExchange(
      InetSocketAddress address,
      EventLoop eventLoop,
      String instanceId,
      String dataCentre,
      String frontendAddress,
      TrafficState state,
      EventSink events) {
    this.eventLoop = eventLoop;
    this.instanceId = instanceId;
    this.dataCentre = dataCentre;
    this.frontendAddress = frontendAddress;
    this.state = state;
    this.events = events;
    this.channel = new PeerChannel(address, eventLoop, this::receive);
    this.freshness = new FreshnessExchange(instanceId, channel, state);
  }

  /** Sets where the configuration is read; called before the start. */
  public void setSource(ConfigurationSource configurationSource) {
    source = configurationSource;
    freshness.setSource(configurationSource);
  }

  @Override
  public CompletableFuture<Void> start() {
    return channel
        .start()
        .thenRun(
            () ->
                eventLoop.scheduleWithFixedDelay(
                    this::tick, MIN_INTERVAL_MILLIS, MIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
  }

  @Override
  public CompletableFuture<Void> stop() {
    return channel.stop();
  }

  /** Sets whether this instance takes new requests. */
  public void setReady(boolean value) {
    if (ready != value) {
      ready = value;
      send(addresses(registered));
    }
  }

  /** Replaces the instances that reports go to. */
  public void updateInstances(List<InstanceEntry> entries) {
    registered = entries.stream().filter(entry -> !entry.id().equals(instanceId)).toList();
    state.setInstances(registered.size() + 1);
  }

  /** Addresses of the instances that are ready, with this one if it is. */
  public List<String> readyAddresses() {
    long now = System.nanoTime();
    List<String> ready = new ArrayList<>();
    if (this.ready) {
      ready.add(frontendAddress);
    }
    for (Peer peer : peers.values()) {
      if (peer.report.getReady() && now - peer.heardNanos < silenceLimit()) {
        ready.add(peer.report.getFrontendAddress());
      }
    }
    return ready;
  }

  private void tick() {
    long now = System.nanoTime();
    dropSilentPeers(now);
    updateDuty();
    Map<String, Long> departures = state.servers().recentDepartures();
    boolean news =
        !engineWork().equals(lastEngineWork)
            || !lastDepartures.keySet().containsAll(departures.keySet())
            || version() != lastVersion;
    if (news) {
      send(addresses(registered));
    } else if (now - lastSentNanos > TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS)) {
      send(addresses(heartbeatReceivers()));
    }
  }

  /** Takes or gives up the duty to watch the store, and obtains proofs without it. */
  private void updateDuty() {
    List<InstanceEntry> alive = new ArrayList<>();
    alive.add(new InstanceEntry(instanceId, dataCentre, null));
    for (InstanceEntry entry : registered) {
      if (peers.containsKey(entry.id())) {
        alive.add(entry);
      }
    }
    List<InstanceEntry> watchers =
        WatchDuty.watchers(alive, InstanceEntry::id, InstanceEntry::dataCentre, dataCentre);
    boolean duty = watchers.stream().anyMatch(entry -> entry.id().equals(instanceId));
    if (duty != watching && source != null) {
      watching = duty;
      source.setWatching(duty);
    }
    if (!duty) {
      freshness.tick(addresses(watchers));
    }
  }

  private static List<InetSocketAddress> addresses(List<InstanceEntry> entries) {
    return entries.stream().map(InstanceEntry::peerAddress).toList();
  }

  private long version() {
    return state.configuration().map(ForwardingConfiguration::version).orElse(0L);
  }

  private Map<String, WorkShare> engineWork() {
    Map<String, WorkShare> work = new HashMap<>();
    for (BackendServer server : state.servers().all()) {
      WorkShare own = server.load().own();
      if (server.engine().isPresent() && !own.equals(WorkShare.NONE)) {
        work.put(server.entry().id(), own);
      }
    }
    return work;
  }

  private void send(List<InetSocketAddress> receivers) {
    lastEngineWork = engineWork();
    lastDepartures = state.servers().recentDepartures();
    lastVersion = version();
    lastSentNanos = System.nanoTime();
    LoadReport.Builder report =
        LoadReport.newBuilder()
            .setInstanceId(instanceId)
            .setIncarnation(incarnation)
            .setSequence(++sequence)
            .setReady(ready)
            .setFrontendAddress(frontendAddress)
            .setConfigurationVersion(lastVersion);
    lastDepartures.forEach(
        (id, start) ->
            report.addDepartures(
                ServerDeparture.newBuilder().setServerId(id).setIncarnation(start)));
    for (BackendServer server : state.servers().all()) {
      WorkShare own = server.load().own();
      if (!own.equals(WorkShare.NONE)) {
        report.addWork(
            ServerWork.newBuilder()
                .setServerId(server.entry().id())
                .setRequests(own.requests())
                .setUnreadTokens(own.unreadTokens())
                .setMemoryTokens(own.memoryTokens()));
      }
    }
    channel.send(
        PeerDatagram.newBuilder().setSenderId(instanceId).setLoad(report).build(), receivers);
  }

  private List<InstanceEntry> heartbeatReceivers() {
    if (registered.size() <= FANOUT) {
      return registered;
    }
    List<InstanceEntry> shuffled = new ArrayList<>(registered);
    Collections.shuffle(shuffled, random);
    return shuffled.subList(0, FANOUT);
  }

  private void receive(PeerDatagram message, InetSocketAddress sender) {
    if (message.getSenderId().equals(instanceId)) {
      return;
    }
    switch (message.getContentCase()) {
      case LOAD:
        onReport(message.getLoad());
        break;
      case PROOF_REQUEST:
        freshness.onRequest(message.getProofRequest(), sender);
        break;
      case PROOF_REPLY:
        freshness.onReply(message.getProofReply());
        break;
      default:
        break;
    }
  }

  private void onReport(LoadReport report) {
    Peer known = peers.get(report.getInstanceId());
    if (known != null && !known.isOlderThan(report)) {
      return;
    }
    peers.put(report.getInstanceId(), new Peer(report, System.nanoTime()));
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
    if (known == null || known.report.getIncarnation() != report.getIncarnation()) {
      events.record(
          EventType.MEMBER_JOINED,
          EventSubject.NONE,
          report.getInstanceId(),
          report.getIncarnation());
    }
    if (report.getConfigurationVersion() > version()) {
      freshness.refresh();
    }
    if (known == null || !known.report.getWorkList().equals(report.getWorkList())) {
      publishOthersWork();
    }
  }

  private void dropSilentPeers(long now) {
    boolean dropped =
        peers
            .entrySet()
            .removeIf(
                entry -> {
                  boolean silent = now - entry.getValue().heardNanos > silenceLimit();
                  if (silent) {
                    events.record(EventType.MEMBER_DEAD, EventSubject.NONE, entry.getKey());
                  }
                  return silent;
                });
    if (dropped) {
      publishOthersWork();
    }
  }

  /** In a large fleet, each instance gets only a share of the reports. */
  private long silenceLimit() {
    return SILENCE_NANOS * Math.max(1, registered.size() / FANOUT);
  }

  private void publishOthersWork() {
    Map<String, WorkShare> sums = new HashMap<>();
    for (Peer peer : peers.values()) {
      for (ServerWork work : peer.report.getWorkList()) {
        WorkShare share =
            new WorkShare(work.getRequests(), work.getUnreadTokens(), work.getMemoryTokens());
        sums.merge(work.getServerId(), share, WorkShare::plus);
      }
    }
    state.updateOthersWork(sums);
  }

  /** The latest report of another instance. */
  private record Peer(LoadReport report, long heardNanos) {
    boolean isOlderThan(LoadReport other) {
      return other.getIncarnation() > report.getIncarnation()
          || (other.getIncarnation() == report.getIncarnation()
              && other.getSequence() > report.getSequence());
    }
  }
}
