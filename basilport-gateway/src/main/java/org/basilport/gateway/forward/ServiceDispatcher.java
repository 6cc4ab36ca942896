package org.basilport.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.RequestDemand;
import org.basilport.policy.dispatch.ReturnOrder;
import org.basilport.policy.dispatch.ServerAdmission.State;
import org.basilport.policy.dispatch.ServerLoad;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.WindowedRetryBudget;

/**
 * Places the requests of one service at its backend servers and queues them while none has
 * capacity.
 */
final class ServiceDispatcher {
  private static final String NONE_ACCEPTS = "all backend servers limit their requests or pause";

  /** Reason of a rejection because only servers in evacuated data centres are left. */
  static final String EVACUATED = "data centres of the backend servers are evacuated";

  private static final String NONE_ACCEPTS_COLD =
      "all backend servers are cold, limit their requests or pause";

  /** Shortest time between two placements of the queue because of the permits of cold servers. */
  private static final long MIN_COLD_PERMIT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private static final String QUEUE_FULL = "waiting line is full";

  private final String service;
  private final boolean placesGenerations;
  private final ServerTable servers;
  private final Predicate<BackendServer> serverFilter;
  private final IntSupplier instanceCount;
  private final ServerSelector selector;
  private final WindowedRetryBudget retryBudget;
  private boolean permitScheduled;
  private boolean coldPermitScheduled;
  private final PendingRequestQueue<PlacementRequest> queue =
      new PendingRequestQueue<>(PendingRequestQueue.LENGTH_LIMIT);
  private Optional<ContendedRequests> contended = Optional.empty();

  ServiceDispatcher(
      String service,
      boolean placesGenerations,
      ServerTable servers,
      Predicate<BackendServer> serverFilter,
      IntSupplier instanceCount,
      ServerSelector selector,
      WindowedRetryBudget retryBudget) {
    this.serverFilter = serverFilter;
    this.instanceCount = instanceCount;
    this.service = service;
    this.placesGenerations = placesGenerations;
    this.servers = servers;
    this.selector = selector;
    this.retryBudget = retryBudget;
  }

  /** Queues requests by usage from now on instead of by arrival. */
  void shareQueue(Contention contention) {
    contended =
        Optional.of(
            new ContendedRequests(
                PendingRequestQueue.LENGTH_LIMIT,
                PendingRequestQueue.REJECTION_LIMIT,
                contention,
                servers,
                this::reserve,
                this::nextServer));
  }

  /** Name of the service. */
  String service() {
    return service;
  }

  /** Retry budget of the service. */
  WindowedRetryBudget retryBudget() {
    return retryBudget;
  }

  /** Takes a retry from the budget of the service; false if it is exhausted. */
  boolean tryAcquireRetry() {
    return retryBudget.tryAcquireRetry(instanceCount.getAsInt(), System.nanoTime());
  }

  /** Whether the servers are model engines, whose KV cache limits their concurrency. */
  boolean placesGenerations() {
    return placesGenerations;
  }

  /** Number of queued requests. */
  int queueLength() {
    return contended.map(ContendedRequests::size).orElseGet(queue::size);
  }

  /** Number of queued requests that are ordered by usage. */
  int contendedQueueLength() {
    return contended.map(ContendedRequests::size).orElse(0);
  }

  private List<PlacementRequest> queuedRequests() {
    return contended.map(ContendedRequests::requests).orElseGet(queue::requests);
  }

  /** Whether any server accepts new requests. */
  boolean hasServers() {
    return hasServers(server -> true);
  }

  /** Whether any server that matches a filter accepts new requests. */
  boolean hasServers(Predicate<BackendServer> filter) {
    return servers.servers(service).stream()
        .anyMatch(server -> usable(server) && filter.test(server));
  }

  /** Whether any server may accept a request. */
  boolean hasServerFor(PlacementRequest request) {
    return servers.servers(service).stream()
        .anyMatch(server -> usable(server) && request.accepts(server));
  }

  private static boolean usable(BackendServer server) {
    return !server.load().leaving() && !server.load().admission().evacuated();
  }

  /** Whether only servers in evacuated data centres may accept a request. */
  boolean onlyEvacuatedAccept(PlacementRequest request) {
    return !hasServerFor(request)
        && servers.servers(service).stream()
            .filter(server -> server.load().admission().evacuated())
            .anyMatch(server -> !server.load().leaving() && request.accepts(server));
  }

  /** Places a request immediately or queues it. */
  void submit(PlacementRequest request) {
    if (contended.isPresent()) {
      submitContended(request, contended.get());
      return;
    }
    if (queue.size() == 0 && place(request)) {
      return;
    }
    if (cannotBeServed(request)) {
      request.onNotQueued(noneAccepts(request));
      return;
    }
    Optional<PendingRequestQueue.Entry<PlacementRequest>> entry =
        queue.add(request, request.priority());
    if (entry.isEmpty()) {
      request.onNotQueued(QUEUE_FULL);
      return;
    }
    request.onQueued(entry.get());
    queue.evictExcess().ifPresent(evicted -> evicted.onNotQueued(QUEUE_FULL));
    placeQueued();
    schedulePermit(request);
  }

  private void submitContended(PlacementRequest request, ContendedRequests requests) {
    requests.submit(request);
    if (!requests.contains(request)) {
      return;
    }
    if (cannotBeServed(request)) {
      requests.remove(request);
      request.onNotQueued(noneAccepts(request));
    } else {
      schedulePermit(request);
      scheduleColdPermit();
    }
  }

  /** Rejects the queued requests that no server takes while they can wait. */
  void rejectHopeless() {
    for (PlacementRequest request : queuedRequests()) {
      if (cannotBeServed(request)) {
        request.onHopeless(noneAccepts(request));
      } else if (!hasServers()) {
        request.onHopeless("no backend server");
      } else if (!hasServers(request.regions()::permit)) {
        request.onHopeless(request.regions().recordUnavailable());
      }
    }
    queuedRequests().stream().findFirst().ifPresent(this::schedulePermit);
  }

  /**
   * Whether no server takes the request while it can wait. The pause of a server counts also if the
   * server has refused the request, since the request may not be sent there before its end.
   */
  private boolean cannotBeServed(PlacementRequest request) {
    if (onlyEvacuatedAccept(request)) {
      return true;
    }
    boolean accepted = hasServerFor(request);
    long nanosToAccept = nanosToAccept(server -> !accepted || request.accepts(server));
    return nanosToAccept > 0 && nanosToAccept > request.maxWaitNanos();
  }

  /**
   * Delay for the caller of a rejected request, in seconds: some server takes requests by then, and
   * callers do not return at once.
   */
  double retryAfterSeconds(Duration targetLatency, SplittableRandom random) {
    double untilAccepted = (double) nanosToAccept(server -> true) / TimeUnit.SECONDS.toNanos(1);
    double base = targetLatency.toMillis() / 1_000.0;
    return untilAccepted + ReturnOrder.delayWithoutPromise(base, random);
  }

  /**
   * Delay for the caller of a rejected request, in seconds: capacity is expected by then if the
   * queue is ordered by usage.
   */
  double retryAfterSeconds(
      PlacementRequest request, Duration targetLatency, SplittableRandom random) {
    double delay = retryAfterSeconds(targetLatency, random);
    return contended.map(requests -> requests.retryAfterSeconds(request, delay)).orElse(delay);
  }

  /**
   * Called when a request has ended.
   *
   * @param tokens tokens that it used; empty if they are not known
   */
  void onEnded(PlacementRequest request, OptionalLong tokens) {
    contended.ifPresent(requests -> requests.end(request, tokens));
  }

  private long nanosToAccept(Predicate<BackendServer> filter) {
    long now = System.nanoTime();
    return servers.servers(service).stream()
        .filter(filter)
        .map(server -> nanosToAccept(server, now))
        .flatMapToLong(OptionalLong::stream)
        .min()
        .orElse(0);
  }

  private OptionalLong nanosToAccept(BackendServer server, long now) {
    OptionalLong admitted = server.load().admission().nanosToAccept(now);
    long toPermit = servers.coldStarts().nanosToPlacement(server.entry(), now);
    return admitted.isPresent()
        ? OptionalLong.of(Math.max(admitted.getAsLong(), toPermit))
        : admitted;
  }

  private String noneAccepts(PlacementRequest request) {
    if (onlyEvacuatedAccept(request)) {
      return EVACUATED;
    }
    long now = System.nanoTime();
    return servers.servers(service).stream()
            .anyMatch(server -> servers.coldStarts().isCold(server.entry(), now))
        ? NONE_ACCEPTS_COLD
        : NONE_ACCEPTS;
  }

  /** Places queued requests again when a cold server has a permit or is warm. */
  private void scheduleColdPermit() {
    long now = System.nanoTime();
    OptionalLong delayNanos =
        servers.servers(service).stream()
            .filter(server -> !server.load().leaving())
            .mapToLong(server -> servers.coldStarts().nanosToPlacement(server.entry(), now))
            .filter(nanos -> nanos > 0)
            .min();
    if (delayNanos.isPresent() && !coldPermitScheduled) {
      coldPermitScheduled = true;
      servers.coldStarts().recordWait();
      servers.runLater(
          () -> {
            coldPermitScheduled = false;
            placeQueued();
          },
          Math.max(MIN_COLD_PERMIT_INTERVAL_NANOS, delayNanos.getAsLong()));
    }
  }

  /** Places queued requests again as soon as a limit permits one. */
  private void schedulePermit(PlacementRequest request) {
    long delayNanos = nanosToAccept(request::accepts);
    if (delayNanos > 0 && queueLength() > 0 && !permitScheduled) {
      permitScheduled = true;
      servers.runLater(
          () -> {
            permitScheduled = false;
            placeQueued();
            schedulePermit(request);
          },
          delayNanos);
    }
  }

  /** Removes a request from the queue. */
  void removeQueued(PendingRequestQueue.Entry<PlacementRequest> entry) {
    if (contended.isPresent()) {
      contended.get().remove(entry.request());
    } else {
      queue.remove(entry);
    }
  }

  /** Places the queued requests for which a server has capacity. */
  void placeQueued() {
    if (queueLength() == 0) {
      return;
    }
    if (contended.isPresent()) {
      contended.get().placeQueued();
      if (queueLength() > 0) {
        scheduleColdPermit();
      }
      return;
    }
    List<Runnable> placed = new ArrayList<>();
    queue.dispatch(
        request -> {
          Optional<BackendServer> server = reserve(request);
          server.ifPresent(chosen -> placed.add(() -> request.onPlaced(chosen)));
          return server.isPresent();
        },
        PlacementRequest::placementGroup,
        PendingRequestQueue.REJECTION_LIMIT);
    // Sending a request may modify the queue and therefore follows the iteration.
    placed.forEach(Runnable::run);
    if (queue.size() > 0) {
      scheduleColdPermit();
    }
  }

  private boolean place(PlacementRequest request) {
    Optional<BackendServer> server = reserve(request);
    server.ifPresent(request::onPlaced);
    return server.isPresent();
  }

  /** Chooses a server for a request and adds the request to its load. */
  private Optional<BackendServer> reserve(PlacementRequest request) {
    Optional<BackendServer> server = choose(selector, request.demand(), request);
    server.ifPresent(
        chosen -> {
          servers.coldStarts().recordPlaced(chosen.entry(), System.nanoTime());
          chosen.load().addOwnWork(request.demand().toWork());
        });
    return server;
  }

  /** The server whose next capacity a waiting generation can reserve: the least occupied one. */
  private Optional<BackendServer> nextServer(PlacementRequest request) {
    if (!placesGenerations) {
      return Optional.empty();
    }
    long now = System.nanoTime();
    int instances = instanceCount.getAsInt();
    return usableServers(request).stream()
        .filter(server -> server.load().admission().state(now) == State.OPEN)
        .filter(server -> request.accepts(server) && server.hasConnection(instances))
        .min(Comparator.comparingLong(server -> server.load().totalWork().memoryTokens()));
  }

  /**
   * The available servers that this instance is assigned; all servers if there are none, or if none
   * is of the version or in the regions that the request requires.
   */
  private List<BackendServer> usableServers(PlacementRequest request) {
    List<BackendServer> all = servers.servers(service);
    long now = System.nanoTime();
    List<BackendServer> own =
        all.stream()
            .filter(serverFilter)
            .filter(server -> server.load().admission().state(now).compareTo(State.PAUSED) < 0)
            .filter(server -> servers.coldStarts().permitsPlacement(server.entry(), now))
            .toList();
    boolean usable =
        request.requiredVersion().isEmpty() && !request.regions().allowed().restricted()
            ? !own.isEmpty()
            : own.stream().anyMatch(request::accepts);
    return usable ? own : all;
  }

  /** Chooses a server with another selector than that of the service, without changing its load. */
  Optional<BackendServer> choose(
      ServerSelector placementSelector, RequestDemand demand, PlacementRequest request) {
    return choose(usableServers(request), placementSelector, demand, request);
  }

  /**
   * Chooses among all servers of the service. The load of servers that only other instances use is
   * incomplete, so the chosen server must be able to refuse what exceeds its capacity.
   */
  Optional<BackendServer> chooseAmongAllServers(
      ServerSelector placementSelector, RequestDemand demand, PlacementRequest request) {
    return choose(servers.servers(service), placementSelector, demand, request);
  }

  private Optional<BackendServer> choose(
      List<BackendServer> serviceServers,
      ServerSelector placementSelector,
      RequestDemand demand,
      PlacementRequest request) {
    long now = System.nanoTime();
    int instances = instanceCount.getAsInt();
    List<ServerLoad> candidates = new ArrayList<>();
    List<ServerLoad> suspended = new ArrayList<>();
    for (BackendServer server : serviceServers) {
      State state = server.load().admission().state(now);
      if (state.compareTo(State.SUSPENDED) > 0
          || !request.accepts(server)
          || !server.hasConnection(instances)
          || !servers.coldStarts().permitsPlacement(server.entry(), now)) {
        continue;
      }
      (state == State.SUSPENDED ? suspended : candidates).add(server.load());
    }
    // If more than half of the servers are suspended, the cause is probably the network or the
    // requests.
    if (suspended.size() > candidates.size()) {
      candidates.addAll(suspended);
    }
    Optional<ServerLoad> chosen = placementSelector.select(candidates, demand, now);
    chosen.map(ServerLoad::admission).ifPresent(admission -> admission.recordPlaced(now));
    return chosen.flatMap(load -> servers.server(load.id()));
  }
}
