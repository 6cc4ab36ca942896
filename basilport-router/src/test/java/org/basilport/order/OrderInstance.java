package org.basilport.order;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.backend.BackendListener;
import org.basilport.backend.BackendServer;
import org.basilport.backend.BackendView;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.engine.ModelEngine;
import org.basilport.event.EventType;
import org.basilport.event.HybridLogicalClock;
import org.basilport.event.Timeline;
import org.basilport.membership.Member;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;
import org.basilport.platform.ObjectStore;

/** An instance of an {@link OrderFleet} that can be paused and whose orders can be delayed. */
final class OrderInstance implements Scheduler, MembershipView, BackendView {
  final String id;
  final EngineOrderController orders;
  final Timeline timeline;
  boolean delaysOrders;

  /** Whether the platform never responds to this instance. */
  boolean platformUnresponsive;

  private final OrderFleet fleet;
  private final List<Runnable> pausedTasks = new ArrayList<>();
  private final List<Runnable> delayedOrders = new ArrayList<>();
  private boolean paused;

  OrderInstance(OrderFleet fleet, String id, SplittableRandom random) {
    this.fleet = fleet;
    this.id = id;
    this.timeline = new Timeline(id, new HybridLogicalClock(() -> now().toEpochMilli()), 5_000);
    OrderEnvironment environment =
        new OrderEnvironment(
            proxy(
                ObjectStore.class,
                (p, m, a) ->
                    platformUnresponsive ? new CompletableFuture<>() : m.invoke(fleet.store, a)),
            (model, version) -> fleet.reserve(),
            engine -> proxy(ModelEngine.class, (p, m, a) -> deliver(engine, (EngineOrder) a[0])),
            this,
            this,
            fleet::inForce,
            this,
            timeline);
    this.orders = new EngineOrderController(environment, random);
    orders.start();
  }

  void pause() {
    paused = true;
  }

  /** Runs the tasks of the pause, as after a pause of the process; the clock did not stop. */
  void resume() {
    paused = false;
    pausedTasks.forEach(fleet.scheduler::execute);
    pausedTasks.clear();
  }

  /** Delivers the delayed orders and returns their number. */
  int releaseOrders() {
    int count = delayedOrders.size();
    delaysOrders = false;
    delayedOrders.forEach(Runnable::run);
    delayedOrders.clear();
    return count;
  }

  boolean mayOrder() {
    return orders.mayOrder(OrderFleet.SERVICE);
  }

  long events(EventType type) {
    return timeline.events(event -> event.type() == type, 5_000).size();
  }

  @Override
  public long nanoTime() {
    return fleet.scheduler.nanoTime();
  }

  @Override
  public Instant now() {
    return fleet.scheduler.now();
  }

  @Override
  public void execute(Runnable task) {
    schedule(Duration.ZERO, task);
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    return fleet.scheduler.schedule(
        delay,
        () -> {
          if (paused) {
            pausedTasks.add(task);
          } else {
            task.run();
          }
        });
  }

  @Override
  public Member self() {
    return fleet.member(id);
  }

  @Override
  public List<Member> members() {
    return fleet.instances.stream().map(OrderInstance::self).toList();
  }

  @Override
  public Optional<Member> owner(String key) {
    return Optional.of(
        fleet.member(fleet.owner.equals(OrderFleet.EVERY_INSTANCE) ? id : fleet.owner));
  }

  @Override
  public List<BackendServer> candidates(String service) {
    return servers();
  }

  @Override
  public Optional<BackendServer> find(String serverId) {
    return servers().stream().filter(server -> server.id().equals(serverId)).findFirst();
  }

  @Override
  public List<BackendServer> servers() {
    return fleet.engines.entrySet().stream()
        .map(
            e ->
                new BackendServer(
                    e.getKey(),
                    e.getValue().incarnation,
                    OrderFleet.SERVICE,
                    "r",
                    "dc",
                    e.getKey(),
                    false))
        .toList();
  }

  @Override
  public Optional<EngineReport> latestReport(String serverId) {
    return Optional.of(fleet.engines.get(serverId).report);
  }

  @Override
  public void addListener(BackendListener listener) {}

  private CompletableFuture<Void> deliver(String engineId, EngineOrder order) {
    CompletableFuture<Void> response = new CompletableFuture<>();
    Runnable delivery =
        () ->
            fleet
                .engines
                .get(engineId)
                .order(order)
                .thenAccept(response::complete)
                .exceptionally(
                    failure -> {
                      response.completeExceptionally(failure);
                      return null;
                    });
    if (delaysOrders) {
      delayedOrders.add(delivery);
    } else {
      fleet.scheduler.schedule(Duration.ofMillis(1), delivery);
    }
    return response;
  }

  private <T> T proxy(Class<T> type, InvocationHandler handler) {
    return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
  }
}
