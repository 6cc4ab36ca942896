package org.basilport.gateway.backend;

import com.codahale.metrics.Counter;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.basilport.event.EventSink;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.gateway.config.ForwardingConfiguration;
import org.basilport.gateway.config.ForwardingService;
import org.basilport.gateway.message.MessageCodec;
import org.basilport.gateway.message.ServerNotice;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PeerWorkTable;
import org.basilport.policy.dispatch.ServerAdmission;
import org.basilport.policy.dispatch.ServerLoad;

/** All backend servers that the directory lists. Confined to the event loop thread. */
public final class ServerTable {
  /**
   * Time for which departures are reported to peers; an instance that was partitioned for longer
   * lists the servers again.
   */
  private static final long DEPARTURE_REPORT_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Retention of departures, so that a stale list, which is some seconds old, does not restore a
   * server that has left.
   */
  private static final long DEPARTURE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * Retention of departures that the server itself told in an answer. The directory may list such a
   * server for much longer, or again after an outage.
   */
  private static final long TOLD_DEPARTURE_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Longest time for which a server is taken to be slow after its start. */
  private static final Duration MAX_WARM_UP = Duration.ofHours(1);

  private final EventLoop eventLoop;
  private final MessageCodec codec;
  private final EventSink events;
  private final CrashMonitor crashMonitor;
  private final ServerLimits limits;
  private final ServerPauses pauses;
  private final ColdStartShares coldStarts;
  private Runnable refusalListener = () -> {};
  private Runnable pauseEndListener = () -> {};
  private boolean refusalsBegan;
  private Predicate<String> evacuatedDataCentres = dataCentre -> false;
  private Runnable departureListener = () -> {};
  private Consumer<BackendServer> engineWorkListener = server -> {};
  private final PeerWorkTable peerWork;
  private final Map<String, BackendServer> byId = new HashMap<>();
  private final Map<String, Departure> departures = new HashMap<>();
  private final Counter leavingNotices = new Counter();
  private final Counter answerProblems = new Counter();
  private final Map<String, List<BackendServer>> byService = new HashMap<>();
  private long revision;

  /** Sets the listener that is called when a departure of a server was recorded. */
  public void onDeparture(Runnable listener) {
    departureListener = listener;
  }

  /** Sets the listener that is called when the work of this instance on an engine changes. */
  public void onEngineWorkChange(Consumer<BackendServer> listener) {
    engineWorkListener = listener;
  }

  /** Creates an empty table. */
  public ServerTable(String instanceId, EventLoop eventLoop, MessageCodec codec, EventSink events) {
    this(
        instanceId,
        eventLoop,
        codec,
        events,
        new ColdStartShares(instanceId, Optional.empty(), events));
  }

  /** Creates an empty table whose cold servers are limited. */
  public ServerTable(
      String instanceId,
      EventLoop eventLoop,
      MessageCodec codec,
      EventSink events,
      ColdStartShares coldStarts) {
    this.coldStarts = coldStarts;
    this.peerWork = new PeerWorkTable(instanceId);
    this.eventLoop = eventLoop;
    this.codec = codec;
    this.events = events;
    this.limits = new ServerLimits(events);
    this.pauses = new ServerPauses(events);
    this.crashMonitor = new CrashMonitor(eventLoop, events);
  }

  /**
   * Replaces the servers by the entries of the directory. Entries of services that the
   * configuration does not contain are ignored until a later configuration contains them.
   *
   * @param source origin of the entries, for events
   */
  public void update(
      List<ServerEntry> entries, ForwardingConfiguration configuration, String source) {
    coldStarts.update(entries, configuration, source, System.nanoTime());
    Set<String> listed = new HashSet<>();
    for (ServerEntry entry : entries) {
      Optional<ForwardingService> service =
          Optional.ofNullable(configuration.services().get(entry.service()));
      if (service.isEmpty()) {
        continue;
      }
      listed.add(entry.id());
      BackendServer known = byId.get(entry.id());
      if (known != null && isSameIncarnation(known.entry(), entry)) {
        refresh(known, entry, source);
      } else {
        if (known != null) {
          remove(known, "restart under the same id");
        }
        add(entry, service.get());
      }
    }
    for (BackendServer server : List.copyOf(byId.values())) {
      if (!listed.contains(server.entry().id())) {
        remove(server, "no longer listed by " + source);
      }
    }
    reportRefusals();
  }

  private static boolean isSameIncarnation(ServerEntry known, ServerEntry listed) {
    return known.incarnation() == listed.incarnation()
        && known.service().equals(listed.service())
        && known.version().equals(listed.version())
        && known.address().equals(listed.address());
  }

  private void add(ServerEntry entry, ForwardingService service) {
    int slots = service.engine().map(engine -> engine.batchSlots()).orElse(entry.slots());
    long memory = service.engine().map(engine -> engine.memoryTokens()).orElse(0L);
    ServerLoad load = new ServerLoad(entry.id(), entry.dataCentre(), slots, memory);
    BackendServer server =
        new BackendServer(
            entry,
            service,
            load,
            new ConnectionPool(entry, eventLoop, codec, new AnswerObserver(entry)));
    if (server.engine().isPresent()) {
      load.onChange(() -> engineWorkListener.accept(server));
    }
    load.admission().setEvacuated(evacuatedDataCentres.test(entry.dataCentre()));
    load.setWarmUpEnd(System.nanoTime() + nanos(entry.warmUpRemaining()));
    byId.put(entry.id(), server);
    revision++;
    applyPeerWork(entry.id());
    byService.computeIfAbsent(entry.service(), name -> new ArrayList<>()).add(server);
    events.record(
        EventType.BACKEND_ADDED,
        EventSubject.server(entry.id()),
        entry.id(),
        entry.incarnation(),
        entry.version());
    pauses.restore(server);
    if (entry.leaving() || hasDeparted(entry)) {
      startDeparture(server);
    }
  }

  private static long nanos(Duration warmUp) {
    return (warmUp.compareTo(MAX_WARM_UP) < 0 ? warmUp : MAX_WARM_UP).toNanos();
  }

  private void refresh(BackendServer known, ServerEntry entry, String source) {
    if (entry.leaving() && !known.load().leaving()) {
      events.record(EventType.BACKEND_LEAVING, EventSubject.server(entry.id()), entry.id(), source);
      startDeparture(known);
    }
  }

  private void remove(BackendServer server, String reason) {
    ServerEntry entry = server.entry();
    byId.remove(entry.id());
    byService.get(entry.service()).remove(server);
    if (!server.load().leaving()) {
      events.record(EventType.BACKEND_LEAVING, EventSubject.server(entry.id()), entry.id(), reason);
      server.markDead();
      crashMonitor.recordDeadServer(entry, reason);
    }
    startDeparture(server);
    limits.remove(server);
    server.connections().shutDown();
  }

  /** Replaces the work that another instance reported. */
  public void updatePeerWork(String instanceId, Map<String, OutstandingWork> workByServer) {
    peerWork.replace(instanceId, workByServer).forEach(this::applyPeerWork);
  }

  private void applyPeerWork(String id) {
    server(id)
        .ifPresent(
            server ->
                server.load().setPeerWork(peerWork.total(id), peerWork.precedingMemoryTokens(id)));
  }

  /** Marks a server as leaving that another instance reported as leaving. */
  public void markLeaving(String id, long incarnation, String source) {
    BackendServer server = byId.get(id);
    if (server != null && server.entry().incarnation() == incarnation && !server.load().leaving()) {
      events.record(EventType.BACKEND_LEAVING, EventSubject.server(id), id, source);
      startDeparture(server);
      reportRefusals();
    }
  }

  /** Applies what a start of a server says of itself; ignored if another start is listed. */
  private void onNotice(ServerEntry entry, String requestId, ServerNotice notice) {
    BackendServer known = byId.get(entry.id());
    boolean replaced = known != null && known.entry().incarnation() != entry.incarnation();
    if (replaced) {
      return;
    }
    applyPause(entry, Optional.ofNullable(known), requestId, notice);
    reportRefusals();
    if (!notice.leaving() || toldDeparture(entry)) {
      return;
    }
    leavingNotices.inc();
    events.record(
        EventType.BACKEND_TOLD_DEPARTURE,
        EventSubject.request(requestId, "").withServer(entry.id()),
        requestId,
        entry.id(),
        entry.incarnation());
    departures.put(entry.id(), new Departure(entry.incarnation(), System.nanoTime(), true));
    markLeaving(entry.id(), entry.incarnation(), "its answer");
  }

  private void applyPause(
      ServerEntry entry, Optional<BackendServer> listed, String requestId, ServerNotice notice) {
    if (notice.pause().isPresent()) {
      refusalsBegan |= pauses.record(entry, listed, requestId, notice.pause().get());
    } else if (listed
        .filter(server -> server.load().admission().pause().recordAnswer(System.nanoTime()))
        .isPresent()) {
      pauseEndListener.run();
    }
  }

  /** Notifies the listener once after a change that may concern several servers. */
  private void reportRefusals() {
    if (refusalsBegan) {
      refusalsBegan = false;
      refusalListener.run();
    }
  }

  /** Sets the listener that is called after servers began to leave or to pause. */
  public void onRefusals(Runnable listener) {
    refusalListener = listener;
  }

  /**
   * Sets the listener that is called when a server has answered the first request after a pause.
   */
  public void onPauseEnd(Runnable listener) {
    pauseEndListener = listener;
  }

  /**
   * Replaces the data centres to whose servers nothing is sent. The listeners for refusals and for
   * the ends of pauses are notified if a server is concerned.
   */
  public void setEvacuated(Predicate<String> dataCentres) {
    evacuatedDataCentres = dataCentres;
    boolean restored = false;
    for (BackendServer server : byId.values()) {
      ServerAdmission admission = server.load().admission();
      boolean before = admission.evacuated();
      admission.setEvacuated(dataCentres.test(server.entry().dataCentre()));
      refusalsBegan |= admission.evacuated() && !before;
      restored |= before && !admission.evacuated();
    }
    reportRefusals();
    if (restored) {
      pauseEndListener.run();
    }
  }

  /** Limits on the requests to cold servers. */
  public ColdStartShares coldStarts() {
    return coldStarts;
  }

  /** Pauses that servers asked for. */
  public ServerPauses pauses() {
    return pauses;
  }

  /** Counts the starts of servers that said in an answer that they leave. */
  public Counter leavingNotices() {
    return leavingNotices;
  }

  /** Counts the connections that were closed because of the bytes received on them. */
  public Counter answerProblems() {
    return answerProblems;
  }

  private boolean toldDeparture(ServerEntry entry) {
    return hasDeparted(entry) && departures.get(entry.id()).told();
  }

  private void startDeparture(BackendServer server) {
    ServerEntry entry = server.entry();
    departures.put(
        entry.id(), new Departure(entry.incarnation(), System.nanoTime(), toldDeparture(entry)));
    revision++;
    departureListener.run();
    refusalsBegan = true;
    server.startDeparture();
  }

  /** Ids of the servers whose departure was detected recently, with their incarnations. */
  public Map<String, Long> recentDepartures() {
    long now = System.nanoTime();
    departures
        .values()
        .removeIf(departure -> now - departure.detectedNanos() > departure.retentionNanos());
    Map<String, Long> recent = new HashMap<>();
    departures.forEach(
        (id, departure) -> {
          if (now - departure.detectedNanos() < DEPARTURE_REPORT_NANOS) {
            recent.put(id, departure.incarnation());
          }
        });
    return recent;
  }

  private boolean hasDeparted(ServerEntry entry) {
    Departure departure = departures.get(entry.id());
    return departure != null && departure.incarnation() == entry.incarnation();
  }

  /** Observes the answers of one start of a server. */
  private final class AnswerObserver implements ServerAnswerListener {
    private final ServerEntry entry;

    private AnswerObserver(ServerEntry entry) {
      this.entry = entry;
    }

    @Override
    public void onNotice(String requestId, ServerNotice notice) {
      ServerTable.this.onNotice(entry, requestId, notice);
    }

    @Override
    public void onProblem(AnswerProblem problem) {
      answerProblems.inc();
      events.record(
          EventType.ANSWER_INVALID,
          EventSubject.request(problem.requestId(), "").withServer(entry.id()),
          problem.requestId(),
          entry.id(),
          problem.waiting(),
          problem.status(),
          problem.receivedBytes(),
          problem.requests(),
          problem.reason());
    }
  }

  /**
   * Departure of one incarnation of a server.
   *
   * @param told whether the server itself told it in an answer to this instance
   */
  private record Departure(long incarnation, long detectedNanos, boolean told) {
    long retentionNanos() {
      return told ? TOLD_DEPARTURE_RETENTION_NANOS : DEPARTURE_RETENTION_NANOS;
    }
  }

  /** Event loop to which the servers are confined. */
  public EventLoop eventLoop() {
    return eventLoop;
  }

  /** Limits that the servers name in their responses. */
  public ServerLimits limits() {
    return limits;
  }

  /** Runs a task on the event loop thread after a delay. */
  public void runLater(Runnable task, long delayNanos) {
    eventLoop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
  }

  /** Monitor of requests that crash servers. */
  public CrashMonitor crashMonitor() {
    return crashMonitor;
  }

  /** All servers of a service, including those that are leaving. */
  public List<BackendServer> servers(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /** Number that increases with each change of the servers that may receive new work. */
  public long revision() {
    return revision;
  }

  /** The servers of all services. */
  public List<BackendServer> allServers() {
    return List.copyOf(byId.values());
  }

  /** The servers on which this instance has outstanding work. */
  public List<BackendServer> serversWithOwnWork() {
    return byId.values().stream()
        .filter(server -> !server.load().ownWork().equals(OutstandingWork.NONE))
        .toList();
  }

  /** The server with the given id; empty if the directory does not list it. */
  public Optional<BackendServer> server(String id) {
    return Optional.ofNullable(byId.get(id));
  }
}
