package org.basilport.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.error.ConflictException;
import org.basilport.error.Step;
import org.basilport.misc.VirtualScheduler;

/** A fake engine that only executes orders; its report is up to one second old. */
final class OrderedEngine {
  static final Duration LOAD_TIME = Duration.ofSeconds(5);
  private static final Duration REPORT_AGE = Duration.ofSeconds(1);

  final List<EngineOrder> acceptedOrders = new ArrayList<>();
  int refusedOrders;
  int fetches;
  long incarnation = 1;
  boolean enforcesFencing = true;
  EngineReport report;

  private final VirtualScheduler scheduler;
  private Set<String> loaded = new TreeSet<>();
  private long highestToken;

  OrderedEngine(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
    publish();
    scheduler.scheduleRepeating(REPORT_AGE, this::publish);
  }

  Set<String> loaded() {
    return loaded;
  }

  void restart() {
    incarnation++;
    loaded = new TreeSet<>();
    highestToken = 0;
    publish();
  }

  CompletableFuture<Void> order(EngineOrder order) {
    if (enforcesFencing && order.fencingToken() < highestToken) {
      refusedOrders++;
      return CompletableFuture.failedFuture(
          new ConflictException(Step.SEND, "engine", "token is below " + highestToken));
    }
    highestToken = Math.max(highestToken, order.fencingToken());
    acceptedOrders.add(order);
    long missing = order.models().stream().filter(model -> !loaded.contains(model)).count();
    fetches += (int) missing;
    int number = acceptedOrders.size();
    long ordered = incarnation;
    scheduler.schedule(
        missing > 0 ? LOAD_TIME : Duration.ZERO,
        () -> {
          if (number == acceptedOrders.size() && ordered == incarnation) {
            loaded = new TreeSet<>(order.models());
          }
        });
    return CompletableFuture.completedFuture(null);
  }

  private void publish() {
    report = new EngineReport(incarnation, false, 1, 0, 0, 0, 1, List.copyOf(loaded), List.of(), 0);
  }
}
