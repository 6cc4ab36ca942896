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
 * Backend servers from the instance list, their own reports and peers. All methods but those of
 * {@link BackendView} run on the control thread.
 */
public final class CommonBackendView implements BackendView, GossipParticipant {
  private static final String LIST_DUTY = "instance-list";
  private static final int READERS_PER_DATA_CENTRE = 2;
  private static final Duration LIST_INTERVAL = Duration.ofSeconds(2);

  /** How often an instance that does not read the list may do so to find members' addresses. */
  private static final Duration CATCH_UP_INTERVAL = Duration.ofSeconds(20);

  /** A single list without a server may be a fault of the list. */
  private static final int MISSING_READS_TO_REMOVE = 2;

  /** How far behind the newest list an entry may be at instances that do not read the list. */
  private static final long UNLISTED_MILLIS = 30_000;

  /** Gossip of the list takes longer the more servers there are. */
  private static final long UNLISTED_MILLIS_PER_SERVER = 100;

  private final GossipMembership membership;
  private final InstanceDirectory directory;
  private final BackendRegistry registry;
  private final BackendPoller poller;
  private final Scheduler control;
  private final BackendGossip backendGossip;
  private final EventSink events;
  private boolean reading;
  private boolean everRead;
  private boolean publishPending;
  private long lastRead;
  private long newestListMillis;
  private volatile BackendSnapshot snapshot = BackendSnapshot.empty();

  /** Creates a view without backend servers. */
  public CommonBackendView(
      GossipMembership membership,
      InstanceDirectory directory,
      ConfigurationView configuration,
      ModelEngineConnector engines,
      ServiceReplicaConnector services,
      Scheduler control,
      SplittableRandom random,
      EventSink events,
      Runnable gossipSoon) {
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
            server -> registry.learn(server, newestListMillis, "its report"),
            this::publishSoon);
    this.backendGossip = new BackendGossip(registry, random);
    registry.addListener(
        new BackendListener() {
          @Override
          public void onLeaving(BackendServer server) {
            gossipSoon.run();
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

  /** Tells that a server refused a connection for a request; any thread. */
  public void connectionRefused(String serverId, long incarnation) {
    control.execute(
        () ->
            registry
                .find(serverId)
                .filter(record -> record.server().incarnation() == incarnation)
                .ifPresent(
                    record -> {
                      registry.refused(record);
                      publish();
                    }));
  }

  /**
   * Reads the instance list when it is this instance's duty, and polls reports.
   *
   * @param hasPeers whether peers were heard lately, so that only readers need the list
   */
  public void tick(boolean hasPeers) {
    registry.expire();
    boolean reader = !hasPeers || membership.onDuty(LIST_DUTY, READERS_PER_DATA_CENTRE);
    boolean due = !everRead || control.nanoTime() - lastRead >= LIST_INTERVAL.toNanos();
    boolean catchUp =
        membership.missesMembers() && control.nanoTime() - lastRead >= CATCH_UP_INTERVAL.toNanos();
    if (((reader || !everRead) && due) || catchUp) {
      readList();
    }
    dropUnlisted();
    poller.poll();
    publish();
  }

  /** Reads the instance list and polls reports now, after a pause. */
  public void refresh() {
    readList();
    poller.poll();
  }

  @Override
  public void contribute(GossipMessage.Builder message, int roomBytes) {
    backendGossip.contribute(message, roomBytes);
  }

  @Override
  public void receive(GossipMessage message) {
    for (BackendEntry entry : message.getBackendsList()) {
      newestListMillis = Math.max(newestListMillis, entry.getListedAtMillis());
      if (!registry.removed(
          entry.getServerId(), entry.getIncarnation(), entry.getListedAtMillis())) {
        learn(entry, message.getSenderId());
      }
    }
    publish();
  }

  private void learn(BackendEntry entry, String source) {
    boolean known =
        registry
            .find(entry.getServerId())
            .filter(record -> record.server().incarnation() == entry.getIncarnation())
            .isPresent();
    if (known || !entry.getAddress().isEmpty()) {
      registry.learn(server(entry), entry.getListedAtMillis(), source);
    } else if (entry.getLeaving()) {
      // The mark outlives the missing record, so the server is no candidate when it is learned.
      registry.markLeaving(entry.getServerId(), entry.getIncarnation(), source);
    }
  }

  private void readList() {
    if (reading) {
      return;
    }
    reading = true;
    lastRead = control.nanoTime();
    long startedMillis = control.now().toEpochMilli();
    directory
        .list()
        .whenCompleteAsync(
            (list, failure) -> {
              reading = false;
              // The gate records failures of the platform; the next round tries again.
              if (failure == null) {
                everRead = true;
                takeOver(list, startedMillis);
              }
            },
            control);
  }

  private void takeOver(List<ListedInstance> list, long atMillis) {
    newestListMillis = Math.max(newestListMillis, atMillis);
    membership.listed(list.stream().filter(i -> i.kind() == InstanceKind.ENTRY).toList());
    Set<String> present = new HashSet<>();
    for (ListedInstance instance : list) {
      if (instance.kind() == InstanceKind.BACKEND) {
        present.add(instance.id());
        registry.learn(server(instance), atMillis, "the instance list");
        registry.find(instance.id()).ifPresent(record -> record.listed(atMillis));
      }
    }
    for (BackendRecord record : List.copyOf(registry.records())) {
      if (!present.contains(record.server().id()) && record.missing() >= MISSING_READS_TO_REMOVE) {
        registry.removeListed(record, newestListMillis);
      }
    }
    publish();
  }

  private void dropUnlisted() {
    long limit = UNLISTED_MILLIS + UNLISTED_MILLIS_PER_SERVER * registry.records().size();
    for (BackendRecord record : List.copyOf(registry.records())) {
      if (newestListMillis - record.listedAtMillis() > limit) {
        registry.removeListed(record, newestListMillis);
      }
    }
  }

  /** Publishes once for all reports that arrive at the same time. */
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
    snapshot = BackendSnapshot.of(registry.records(), registry::markedLeaving, events);
  }

  private static BackendServer server(BackendEntry entry) {
    return new BackendServer(
        entry.getServerId(),
        entry.getIncarnation(),
        entry.getService(),
        entry.getRegion(),
        entry.getDataCentre(),
        entry.getAddress(),
        entry.getLeaving());
  }

  private static BackendServer server(ListedInstance instance) {
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
