package org.basilport.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
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
import org.basilport.policy.dispatch.ServerAdmission.State;
import org.basilport.policy.dispatch.ServerLoad;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.WindowedRetryBudget;

/**
 * Places the requests of one service at its backend servers and queues them while none has
 * capacity.
 */
final class ServiceDispatcher {
  /** Length limit of the queue; several seconds of arrivals at the request rate of one instance. */
  private static final int QUEUE_LIMIT = 200;

  /** Number of failed placements after which the rest of the queue is not tried. */
  private static final int MAX_FAILED_PLACEMENTS = 4;

  private static final String NONE_ACCEPTS = "all backend servers limit their requests or pause";

  private static final String QUEUE_FULL = "waiting line is full";

  private final String service;
  private final boolean placesGenerations;
  private final ServerTable servers;
  private final Predicate<BackendServer> serverFilter;
  private final IntSupplier instanceCount;
  private final ServerSelector selector;
  private final WindowedRetryBudget retryBudget;
  private boolean permitScheduled;
  private final PendingRequestQueue<PlacementRequest> queue =
      new PendingRequestQueue<>(QUEUE_LIMIT);

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
    return queue.size();
  }

  /** Whether any server accepts new requests. */
  boolean hasServers() {
    return servers.servers(service).stream().anyMatch(server -> !server.load().leaving());
  }

  /** Whether any server may accept a request. */
  boolean hasServerFor(PlacementRequest request) {
    return servers.servers(service).stream()
        .anyMatch(server -> !server.load().leaving() && request.accepts(server));
  }

  /** Places a request immediately or queues it. */
  void submit(PlacementRequest request) {
    if (queue.size() == 0 && place(request)) {
      return;
    }
    if (cannotBeServed(request)) {
      request.onNotQueued(NONE_ACCEPTS);
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

  /** Rejects the queued requests that no server takes while they can wait. */
  void rejectHopeless() {
    for (PlacementRequest request : queue.requests()) {
      if (cannotBeServed(request)) {
        request.onHopeless(NONE_ACCEPTS);
      } else if (!hasServers()) {
        request.onHopeless("no backend server");
      }
    }
    queue.requests().stream().findFirst().ifPresent(this::schedulePermit);
  }

  /**
   * Whether no server takes the request while it can wait. The pause of a server counts also if the
   * server has refused the request, since the request may not be sent there before its end.
   */
  private boolean cannotBeServed(PlacementRequest request) {
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
    return untilAccepted + base * (0.5 + random.nextDouble());
  }

  private long nanosToAccept(Predicate<BackendServer> filter) {
    long now = System.nanoTime();
    return servers.servers(service).stream()
        .filter(filter)
        .map(server -> server.load().admission().nanosToAccept(now))
        .flatMapToLong(OptionalLong::stream)
        .min()
        .orElse(0);
  }

  /** Places queued requests again as soon as a limit permits one. */
  private void schedulePermit(PlacementRequest request) {
    long delayNanos = nanosToAccept(request::accepts);
    if (delayNanos > 0 && queue.size() > 0 && !permitScheduled) {
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
    queue.remove(entry);
  }

  /** Places the queued requests for which a server has capacity. */
  void placeQueued() {
    if (queue.size() == 0) {
      return;
    }
    List<Runnable> placed = new ArrayList<>();
    queue.dispatch(
        request -> {
          Optional<BackendServer> server = reserve(request);
          server.ifPresent(chosen -> placed.add(() -> request.onPlaced(chosen)));
          return server.isPresent();
        },
        PlacementRequest::requiredVersion,
        MAX_FAILED_PLACEMENTS);
    // Sending a request may modify the queue and therefore follows the iteration.
    placed.forEach(Runnable::run);
  }

  private boolean place(PlacementRequest request) {
    Optional<BackendServer> server = reserve(request);
    server.ifPresent(request::onPlaced);
    return server.isPresent();
  }

  /** Chooses a server for a request and adds the request to its load. */
  private Optional<BackendServer> reserve(PlacementRequest request) {
    Optional<BackendServer> server = choose(selector, request.demand(), request);
    server.ifPresent(chosen -> chosen.load().addOwnWork(request.demand().toWork()));
    return server;
  }

  /**
   * The available servers that this instance is assigned; all servers if there are none, or if none
   * is of the version that the request requires.
   */
  private List<BackendServer> usableServers(PlacementRequest request) {
    List<BackendServer> all = servers.servers(service);
    long now = System.nanoTime();
    List<BackendServer> own =
        all.stream()
            .filter(serverFilter)
            .filter(server -> server.load().admission().state(now).compareTo(State.PAUSED) < 0)
            .toList();
    boolean usable =
        request.requiredVersion().isEmpty()
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
          || !server.hasConnection(instances)) {
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
