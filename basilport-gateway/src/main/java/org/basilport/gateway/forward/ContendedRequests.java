package org.basilport.gateway.forward;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.ServerTable;
import org.basilport.policy.dispatch.ContendedDispatch;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.PendingRequestQueue;
import org.basilport.policy.dispatch.ReturnOrder;

/**
 * Waiting requests of one service that compete for its capacity. Connects the decisions of {@link
 * ContendedDispatch} with servers, exchanges and metrics. Confined to the event loop thread.
 */
final class ContendedRequests {
  private static final String NO_CAPACITY_IN_TIME = "no room at any backend server in time";

  private final Contention contention;
  private final ServerTable servers;
  private final Function<PlacementRequest, Optional<BackendServer>> reserver;
  private final Function<PlacementRequest, Optional<BackendServer>> nextServer;
  private final ContendedDispatch<PlacementRequest> dispatch;
  private final ServerCapacity capacity = new ServerCapacity();

  /** Calls of requests, which may modify the queue and therefore follow a decision. */
  private final ArrayDeque<Runnable> notifications = new ArrayDeque<>();

  private Optional<BackendServer> reservedServer = Optional.empty();
  private boolean offerScheduled;

  /**
   * Creates an empty queue.
   *
   * @param reserver chooses a server that has capacity now and adds the request to its load
   * @param nextServer chooses the server whose next capacity a request reserves
   */
  ContendedRequests(
      int queueLimit,
      int rejectionLimit,
      Contention contention,
      ServerTable servers,
      Function<PlacementRequest, Optional<BackendServer>> reserver,
      Function<PlacementRequest, Optional<BackendServer>> nextServer) {
    this.contention = contention;
    this.servers = servers;
    this.reserver = reserver;
    this.nextServer = nextServer;
    this.dispatch =
        new ContendedDispatch<>(
            queueLimit,
            rejectionLimit,
            contention.usage(),
            contention.random().split(),
            System.nanoTime());
  }

  /** Places a request, queues it or refuses it. */
  void submit(PlacementRequest request) {
    request.onQueued(new PendingRequestQueue.Entry<>(request, request.priority(), 0));
    boolean known = dispatch.knows(request);
    ReturnOrder.Arrival arrival =
        dispatch.submit(
            request,
            request.contendingRequest(),
            request.placementGroup(),
            request.maxWaitNanos(),
            capacity,
            System.nanoTime());
    if (arrival == ReturnOrder.Arrival.RETURNED && !known) {
      contention.returnedInTime().inc();
    }
    runNotifications();
    scheduleOffer();
  }

  /** Offers the queued requests to the servers. */
  void placeQueued() {
    dispatch.dispatch(capacity, System.nanoTime());
    runNotifications();
    scheduleOffer();
  }

  private void runNotifications() {
    for (Runnable next = notifications.poll(); next != null; next = notifications.poll()) {
      next.run();
    }
  }

  /** Offers held requests when the time for which they are held has passed. */
  private void scheduleOffer() {
    OptionalLong delay = dispatch.queue().nanosToNextOffer(System.nanoTime());
    if (delay.isPresent() && !offerScheduled) {
      offerScheduled = true;
      servers.runLater(
          () -> {
            offerScheduled = false;
            placeQueued();
          },
          delay.getAsLong());
    }
  }

  boolean contains(PlacementRequest request) {
    return dispatch.queue().contains(request);
  }

  void remove(PlacementRequest request) {
    dispatch.remove(request, capacity, System.nanoTime());
  }

  List<PlacementRequest> requests() {
    return dispatch.queue().requests();
  }

  int size() {
    return dispatch.queue().size();
  }

  /** Delay for the caller of a refused request, in seconds. */
  double retryAfterSeconds(PlacementRequest request, double minSeconds) {
    double second = TimeUnit.SECONDS.toNanos(1);
    long delay = dispatch.refuse(request, Math.round(minSeconds * second), System.nanoTime());
    contention.retryAfterMillis().update(TimeUnit.NANOSECONDS.toMillis(delay));
    return delay / second;
  }

  /** Forgets a request that has ended. */
  void end(PlacementRequest request, OptionalLong tokens) {
    dispatch.end(request, tokens, System.nanoTime());
  }

  /** Capacity of the servers of the service. */
  private final class ServerCapacity implements ContendedDispatch.Servers<PlacementRequest> {
    /** Request that has reserved capacity, and the work that the load of the server includes. */
    private Optional<PlacementRequest> holder = Optional.empty();

    private OutstandingWork reservedWork = OutstandingWork.NONE;

    @Override
    public boolean place(PlacementRequest request) {
      boolean reserved = holder.filter(current -> current == request).isPresent();
      if (reserved) {
        reservedServer.ifPresent(server -> server.load().removeOwnWork(reservedWork));
      }
      Optional<BackendServer> chosen = reserver.apply(request);
      if (chosen.isPresent()) {
        if (reserved) {
          forgetReservation();
        }
        notifications.add(() -> request.onPlaced(chosen.get()));
      } else if (reserved) {
        reservedServer.ifPresent(server -> server.load().addOwnWork(reservedWork));
      }
      return chosen.isPresent();
    }

    @Override
    public boolean reserve(PlacementRequest request) {
      reservedServer = nextServer.apply(request);
      if (reservedServer.isEmpty()) {
        return false;
      }
      holder = Optional.of(request);
      reservedWork = request.demand().toWork();
      reservedServer.get().load().addOwnWork(reservedWork);
      return true;
    }

    @Override
    public void release(PlacementRequest request) {
      if (holder.filter(current -> current == request).isPresent()) {
        reservedServer.ifPresent(server -> server.load().removeOwnWork(reservedWork));
        forgetReservation();
      }
    }

    private void forgetReservation() {
      holder = Optional.empty();
      reservedServer = Optional.empty();
    }

    @Override
    public void refuse(PlacementRequest request) {
      contention.refusedAtOnce().inc();
      notifications.add(() -> request.onNotQueued(NO_CAPACITY_IN_TIME));
    }
  }
}
