package org.basilport.gateway.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.forward.TrafficState;
import org.basilport.misc.Service;
import org.basilport.policy.dispatch.WorkShare;
import org.basilport.protocol.LoadReport;
import org.basilport.protocol.ServerWork;

/**
 * Exchanges load reports with the other instances over datagrams; confined to the traffic thread.
 *
 * <p>A report is a whole snapshot, so a lost one is replaced by the next. Datagrams cost neither
 * connections nor threads, which gRPC would for messages that may be lost.
 */
public final class LoadExchange extends SimpleChannelInboundHandler<DatagramPacket>
    implements Service {
  private static final Logger LOG = LogManager.getLogger(LoadExchange.class);

  /** Interval of reports without a change. */
  private static final long HEARTBEAT_MILLIS = 250;

  /** Shortest interval between reports: about the one-way time between data centres, times ten. */
  private static final long MIN_INTERVAL_MILLIS = 20;

  /** Silence after which an instance is considered dead: four reports were lost or not sent. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

  /** Instances that get one report; in a larger fleet they are drawn at random. */
  private static final int FANOUT = 12;

  private final InetSocketAddress address;
  private final EventLoop eventLoop;
  private final String instanceId;
  private final String frontendAddress;
  private final TrafficState state;
  private final EventSink events;
  private final long incarnation = System.currentTimeMillis();
  private final Random random = new Random();
  private final Map<String, Peer> peers = new HashMap<>();
  private List<InstanceEntry> registered = List.of();
  private Channel channel;
  private boolean ready;
  private long sequence;
  private Map<String, WorkShare> lastSent = Map.of();
  private Set<String> lastDepartures = Set.of();
  private long lastSentNanos = System.nanoTime();

  /** Creates an exchange; it sends after its start. */
  public LoadExchange(
      InetSocketAddress address,
      EventLoop eventLoop,
      String instanceId,
      String frontendAddress,
      TrafficState state,
      EventSink events) {
    this.address = address;
    this.eventLoop = eventLoop;
    this.instanceId = instanceId;
    this.frontendAddress = frontendAddress;
    this.state = state;
    this.events = events;
  }

  @Override
  public CompletableFuture<Void> start() {
    CompletableFuture<Void> started = new CompletableFuture<>();
    new Bootstrap()
        .group(eventLoop)
        .channel(NioDatagramChannel.class)
        .handler(this)
        .bind(address)
        .addListener(
            (io.netty.channel.ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                channel = bound.channel();
                eventLoop.scheduleWithFixedDelay(
                    this::tick, MIN_INTERVAL_MILLIS, MIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                started.complete(null);
              } else {
                started.completeExceptionally(bound.cause());
              }
            });
    return started;
  }

  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          if (channel != null) {
            channel.close();
          }
          stopped.complete(null);
        });
    return stopped;
  }

  /** Sets whether this instance takes new requests. */
  public void setReady(boolean value) {
    if (ready != value) {
      ready = value;
      send(ownWork());
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
    List<String> addresses = new ArrayList<>();
    if (ready) {
      addresses.add(frontendAddress);
    }
    for (Peer peer : peers.values()) {
      if (peer.report.getReady() && now - peer.heardNanos < SILENCE_NANOS) {
        addresses.add(peer.report.getFrontendAddress());
      }
    }
    return addresses;
  }

  private void tick() {
    long now = System.nanoTime();
    dropSilentPeers(now);
    Map<String, WorkShare> work = ownWork();
    if (!work.equals(lastSent)
        || !lastDepartures.containsAll(state.servers().recentDepartures())
        || now - lastSentNanos > TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS)) {
      send(work);
    }
  }

  private Map<String, WorkShare> ownWork() {
    Map<String, WorkShare> work = new HashMap<>();
    for (BackendServer server : state.servers().all()) {
      WorkShare own = server.load().own();
      if (!own.equals(WorkShare.NONE)) {
        work.put(server.entry().id(), own);
      }
    }
    return work;
  }

  private void send(Map<String, WorkShare> work) {
    if (channel == null) {
      return;
    }
    lastSent = work;
    lastDepartures = state.servers().recentDepartures();
    lastSentNanos = System.nanoTime();
    LoadReport.Builder report =
        LoadReport.newBuilder()
            .setInstanceId(instanceId)
            .setIncarnation(incarnation)
            .setSequence(++sequence)
            .setReady(ready)
            .setFrontendAddress(frontendAddress)
            .addAllLeavingServerIds(lastDepartures);
    work.forEach(
        (id, share) ->
            report.addWork(
                ServerWork.newBuilder()
                    .setServerId(id)
                    .setRequests(share.requests())
                    .setUnreadTokens(share.unreadTokens())
                    .setMemoryTokens(share.memoryTokens())));
    byte[] bytes = report.build().toByteArray();
    for (InstanceEntry entry : receivers()) {
      channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), entry.loadAddress()));
    }
    channel.flush();
  }

  private List<InstanceEntry> receivers() {
    if (registered.size() <= FANOUT) {
      return registered;
    }
    List<InstanceEntry> shuffled = new ArrayList<>(registered);
    Collections.shuffle(shuffled, random);
    return shuffled.subList(0, FANOUT);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
    LoadReport report;
    try {
      report = LoadReport.parseFrom(packet.content().nioBuffer());
    } catch (InvalidProtocolBufferException e) {
      LOG.debug("datagram of {} is no load report: {}", packet.sender(), e.getMessage());
      return;
    }
    if (report.getInstanceId().equals(instanceId)) {
      return;
    }
    Peer known = peers.get(report.getInstanceId());
    if (known != null && !known.isOlderThan(report)) {
      return;
    }
    peers.put(report.getInstanceId(), new Peer(report, System.nanoTime()));
    report
        .getLeavingServerIdsList()
        .forEach(id -> state.servers().markLeaving(id, report.getInstanceId()));
    if (known == null || known.report.getIncarnation() != report.getIncarnation()) {
      events.record(
          EventType.MEMBER_JOINED,
          EventSubject.NONE,
          report.getInstanceId(),
          report.getIncarnation());
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
