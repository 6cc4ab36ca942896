package org.basilport.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.RequestDemand;
import org.basilport.policy.dispatch.ServerLoad;
import org.basilport.policy.dispatch.ServerSelector;
import org.basilport.policy.dispatch.WindowedRetryBudget;

/** Places the requests of one service on its backend servers. */
final class ServiceDispatcher {
  /** Requests that may wait; at the rates of one instance this is several seconds of arrivals. */
  private static final int QUEUE_LIMIT = 200;

  /** Requests of the line that are tried and found no server before the rest is left waiting. */
  private static final int MAX_FAILED_OFFERS = 4;

  private final String service;
  private final boolean placesGenerations;
  private final ServerTable servers;
  private final Predicate<BackendServer> usable;
  private final IntSupplier instanceCount;
  private final ServerSelector selector;
  private final WindowedRetryBudget retryBudget;
  private final PendingRequestQueue<PlacementRequest> queue =
      new PendingRequestQueue<>(QUEUE_LIMIT);

  ServiceDispatcher(
      String service,
      boolean placesGenerations,
      ServerTable servers,
      Predicate<BackendServer> usable,
      IntSupplier instanceCount,
      ServerSelector selector,
      WindowedRetryBudget retryBudget) {
    this.usable = usable;
    this.instanceCount = instanceCount;
    this.service = service;
    this.placesGenerations = placesGenerations;
    this.servers = servers;
    this.selector = selector;
    this.retryBudget = retryBudget;
  }

  /** Budget of requests that are sent again. */
  WindowedRetryBudget retryBudget() {
    return retryBudget;
  }

  /** Whether the servers are model engines, whose memory limits what they run at once. */
  boolean placesGenerations() {
    return placesGenerations;
  }

  /** Number of requests that wait for a server. */
  int queueLength() {
    return queue.size();
  }

  /** Whether any server takes new work. */
  boolean hasServers() {
    return servers.servers(service).stream().anyMatch(server -> !server.load().leaving());
  }

  /** Places a request at once or lets it wait. */
  void submit(PlacementRequest request) {
    if (queue.size() == 0 && place(request)) {
      return;
    }
    Optional<PendingRequestQueue.Entry<PlacementRequest>> entry =
        queue.add(request, request.priority());
    if (entry.isEmpty()) {
      request.onQueueFull();
      return;
    }
    request.onQueued(entry.get());
    queue.evictExcess().ifPresent(PlacementRequest::onQueueFull);
    placeQueued();
  }

  /** Removes a request from the line. */
  void removeQueued(PendingRequestQueue.Entry<PlacementRequest> entry) {
    queue.remove(entry);
  }

  /** Places waiting requests that now find a server. */
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
        MAX_FAILED_OFFERS);
    // Sending can change the line, so it starts after the iteration.
    placed.forEach(Runnable::run);
  }

  private boolean place(PlacementRequest request) {
    Optional<BackendServer> server = reserve(request);
    server.ifPresent(request::onPlaced);
    return server.isPresent();
  }

  /** Chooses a server for a request and counts the request in its load. */
  private Optional<BackendServer> reserve(PlacementRequest request) {
    Optional<BackendServer> server = choose(selector, request.demand(), request);
    server.ifPresent(chosen -> chosen.load().addOwnWork(request.demand().toWork()));
    return server;
  }

  /** The servers of this instance's share of the service, all when that has none. */
  private List<BackendServer> usableServers() {
    List<BackendServer> all = servers.servers(service);
    List<BackendServer> own =
        all.stream().filter(usable).filter(server -> !server.load().leaving()).toList();
    return own.isEmpty() ? all : own;
  }

  /** Chooses a server by other criteria than the service's own, without changing its load. */
  Optional<BackendServer> choose(
      ServerSelector placementSelector, RequestDemand demand, PlacementRequest request) {
    return choose(usableServers(), placementSelector, demand, request);
  }

  /**
   * Chooses among all servers of the service. The load of those that other instances use is known
   * in part only, so the choice serves where a server refuses what it has no room for.
   */
  Optional<BackendServer> chooseAnywhere(
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
      if (server.load().leaving() || !request.accepts(server) || !server.hasConnection(instances)) {
        continue;
      }
      boolean isSuspended = server.load().health().suspended(now);
      (isSuspended ? suspended : candidates).add(server.load());
    }
    // More than half of the servers suspended points to a fault of the network or of the requests.
    if (suspended.size() > candidates.size()) {
      candidates.addAll(suspended);
    }
    return placementSelector
        .select(candidates, demand, now)
        .flatMap(load -> servers.server(load.id()));
  }
}
