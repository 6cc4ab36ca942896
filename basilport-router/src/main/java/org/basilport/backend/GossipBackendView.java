package org.basilport.backend;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.basilport.config.ConfigurationView;
import org.basilport.engine.EngineReport;
import org.basilport.engine.ModelEngineConnector;
import org.basilport.event.EventSink;
import org.basilport.membership.GossipMembership;
import org.basilport.misc.Scheduler;
import org.basilport.peer.GossipParticipant;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.protocol.BackendEntry;
import org.basilport.protocol.GossipMessage;
import org.basilport.service.ServiceReplicaConnector;

/**
 * Backend servers learned from the instance directory, their reports and gossip. All methods except
 * those of {@link BackendView} run on the control thread.
 */
public final class GossipBackendView implements BackendView, GossipParticipant {
  private static final String LIST_TASK = "instance-list";
  private static final int READERS_PER_DATA_CENTRE = 2;
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);

  /** Minimum interval between list reads of a non-reader that needs the addresses of members. */
  private static final Duration ADDRESS_LOOKUP_INTERVAL = Duration.ofSeconds(20);

  /** A server missing from a single list may be a fault of the list. */
  private static final int MISSING_READS_TO_REMOVE = 2;

  /**
   * A server is removed if the last list known to have it is older than the newest list by this.
   */
  private static final long MAX_LIST_AGE_MILLIS = 30_000;

  /** Gossip takes longer to confirm each server the more servers there are. */
  private static final long MAX_LIST_AGE_PER_SERVER_MILLIS = 100;

  private final GossipMembership membership;
  private final InstanceDirectory directory;
  private final BackendRegistry registry;
  private final BackendPoller poller;
  private final Scheduler control;
  private final BackendGossip backendGossip;
  private final EventSink events;
  private boolean readInProgress;
  private boolean hasReadList;
  private boolean publishPending;
  private long lastReadNanos;
  private long newestListMillis;
  private volatile BackendSnapshot snapshot = BackendSnapshot.empty();

  /** Creates a view without backend servers. */
  public GossipBackendView(
      GossipMembership membership,
      InstanceDirectory directory,
      ConfigurationView configuration,
      ModelEngineConnector engines,
      ServiceReplicaConnector services,
      Scheduler control,
      SplittableRandom random,
      EventSink events,
      Runnable triggerGossip) {
    this.membership = membership;
    this.directory = directory;
    this.control = control;
    this.events = events;
    this.registry = new BackendRegistry(control, events);
    this.poller =
        new BackendPoller(
            registry,
            configuration,
            engines,
            services,
            control,
            server -> registry.merge(server, newestListMillis, "its report"),
            this::publishSoon);
    this.backendGossip = new BackendGossip(registry, random);
    registry.addListener(
        new BackendListener() {
          @Override
          public void onLeaving(BackendServer server) {
            triggerGossip.run();
          }
        });
  }

  @Override
  public List<BackendServer> candidates(String service) {
    return snapshot.candidates().getOrDefault(service, List.of());
  }

  @Override
  public Optional<BackendServer> find(String serverId) {
    return Optional.ofNullable(snapshot.servers().get(serverId));
  }

  @Override
  public List<BackendServer> servers() {
    return List.copyOf(snapshot.servers().values());
  }

  @Override
  public Optional<EngineReport> latestReport(String serverId) {
    return Optional.ofNullable(snapshot.reports().get(serverId));
  }

  @Override
  public void addListener(BackendListener listener) {
    control.execute(() -> registry.addListener(listener));
  }

  /** Records that a server refused the connection of a request; safe from any thread. */
  public void recordRefusedConnection(String serverId, long incarnation) {
    control.execute(
        () ->
            registry
                .find(serverId)
                .filter(record -> record.server().incarnation() == incarnation)
                .ifPresent(
                    record -> {
                      registry.recordRefusal(record);
                      publish();
                    }));
  }

  /**
   * Reads the instance directory if this instance is assigned to do so, and polls reports.
   *
   * @param hasPeers whether gossip arrived recently; if not, the instance reads the list itself
   */
  public void tick(boolean hasPeers) {
    registry.expire();
    boolean reader = !hasPeers || membership.isAssigned(LIST_TASK, READERS_PER_DATA_CENTRE);
    boolean due = !hasReadList || control.nanoTime() - lastReadNanos >= LIST_INTERVAL.toNanos();
    boolean addressLookup =
        membership.hasUnknownMembers()
            && control.nanoTime() - lastReadNanos >= ADDRESS_LOOKUP_INTERVAL.toNanos();
    if (((reader || !hasReadList) && due) || addressLookup) {
      readList();
    }
    removeUnlisted();
    poller.poll();
    publish();
  }

  /**
   * Reads the instance directory and polls reports immediately, as after a pause of the process.
   */
  public void refresh() {
    readList();
    poller.poll();
  }

  @Override
  public void contribute(GossipMessage.Builder message, int maxBytes) {
    backendGossip.contribute(message, maxBytes);
  }

  @Override
  public void receive(GossipMessage message) {
    for (BackendEntry entry : message.getBackendsList()) {
      newestListMillis = Math.max(newestListMillis, entry.getListedAtMillis());
      if (!registry.isRemoved(
          entry.getServerId(), entry.getIncarnation(), entry.getListedAtMillis())) {
        merge(entry, message.getSenderId());
      }
    }
    publish();
  }

  private void merge(BackendEntry entry, String source) {
    boolean known =
        registry
            .find(entry.getServerId())
            .filter(record -> record.server().incarnation() == entry.getIncarnation())
            .isPresent();
    if (known || !entry.getAddress().isEmpty()) {
      registry.merge(toServer(entry), entry.getListedAtMillis(), source);
    } else if (entry.getLeaving()) {
      // The mark is kept without a record, so the server is not a candidate when it is added.
      registry.markLeaving(entry.getServerId(), entry.getIncarnation(), source);
    }
  }

  private void readList() {
    if (readInProgress) {
      return;
    }
    readInProgress = true;
    lastReadNanos = control.nanoTime();
    long startedMillis = control.now().toEpochMilli();
    directory
        .list()
        .whenCompleteAsync(
            (list, failure) -> {
              readInProgress = false;
              // The rate limiter records platform failures; the next round tries again.
              if (failure == null) {
                hasReadList = true;
                applyList(list, startedMillis);
              }
            },
            control);
  }

  private void applyList(List<ListedInstance> list, long atMillis) {
    newestListMillis = Math.max(newestListMillis, atMillis);
    membership.listedInstances(list.stream().filter(i -> i.kind() == InstanceKind.ENTRY).toList());
    Set<String> present = new HashSet<>();
    for (ListedInstance instance : list) {
      if (instance.kind() == InstanceKind.BACKEND) {
        present.add(instance.id());
        registry.merge(toServer(instance), atMillis, "the instance directory");
        registry.find(instance.id()).ifPresent(record -> record.recordListed(atMillis));
      }
    }
    for (BackendRecord record : List.copyOf(registry.records())) {
      if (!present.contains(record.server().id())
          && record.recordMissing() >= MISSING_READS_TO_REMOVE) {
        registry.removeUnlisted(record, newestListMillis);
      }
    }
    publish();
  }

  private void removeUnlisted() {
    long limit = MAX_LIST_AGE_MILLIS + MAX_LIST_AGE_PER_SERVER_MILLIS * registry.records().size();
    for (BackendRecord record : List.copyOf(registry.records())) {
      if (newestListMillis - record.listedAtMillis() > limit) {
        registry.removeUnlisted(record, newestListMillis);
      }
    }
  }

  /** Schedules one publication for all reports that arrive at the same time. */
  private void publishSoon() {
    if (!publishPending) {
      publishPending = true;
      control.execute(
          () -> {
            publishPending = false;
            publish();
          });
    }
  }

  private void publish() {
    snapshot = BackendSnapshot.of(registry.records(), registry::isMarkedLeaving, events);
  }

  private static BackendServer toServer(BackendEntry entry) {
    return new BackendServer(
        entry.getServerId(),
        entry.getIncarnation(),
        entry.getService(),
        entry.getRegion(),
        entry.getDataCentre(),
        entry.getAddress(),
        entry.getLeaving());
  }

  private static BackendServer toServer(ListedInstance instance) {
    return new BackendServer(
        instance.id(),
        instance.incarnation(),
        instance.service(),
        instance.region(),
        instance.dataCentre(),
        instance.address(),
        instance.state() == InstanceState.LEAVING);
  }
}
