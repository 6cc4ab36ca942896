package org.basilport.daemon;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.basilport.misc.Service;
import org.basilport.router.Router;

/** The daemon of one instance: a router and the network servers in front of it. */
public final class Daemon implements Service {
  private final Router router;
  private final List<Service> servers;
  private final AtomicReference<CompletableFuture<Void>> shutdown = new AtomicReference<>();
  private final CompletableFuture<Void> terminated = new CompletableFuture<>();

  /**
   * Creates a daemon.
   *
   * @param servers servers in front of the router; they start before it, so that readiness can be
   *     queried, and stop after it in reverse order
   */
  public Daemon(Router router, List<Service> servers) {
    this.router = router;
    this.servers = List.copyOf(servers);
  }

  @Override
  public CompletableFuture<Void> start() {
    CompletableFuture<Void> started = CompletableFuture.completedFuture(null);
    for (Service server : servers) {
      started = started.thenCompose(done -> server.start());
    }
    return started.thenCompose(done -> router.start());
  }

  /** Drains the router, then stops; a repeated call returns the result of the first. */
  public CompletableFuture<Void> shutDown(String reason) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    if (!shutdown.compareAndSet(null, result)) {
      return shutdown.get();
    }
    router
        .drain(reason)
        .handle((done, failure) -> stop())
        .thenCompose(stopped -> stopped)
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                result.complete(null);
              } else {
                result.completeExceptionally(failure);
              }
            });
    return result;
  }

  /** Completes when the daemon has stopped. */
  public CompletableFuture<Void> terminated() {
    return terminated;
  }

  /** The router of the instance. */
  public Router router() {
    return router;
  }

  /** Stops immediately, without draining requests. */
  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = router.stop();
    for (int i = servers.size() - 1; i >= 0; i--) {
      Service server = servers.get(i);
      stopped = stopped.handleAsync((done, failure) -> server.stop()).thenCompose(step -> step);
    }
    return stopped.whenComplete((done, failure) -> terminated.complete(null));
  }
}
