package org.basilport.order;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.Deployment;
import org.basilport.config.ModelPlacement;
import org.basilport.error.FailureCode;
import org.basilport.error.RejectedException;
import org.basilport.error.Step;
import org.basilport.event.EventType;
import org.basilport.fake.FakeObjectStore;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.membership.MemberStatus;
import org.basilport.misc.VirtualScheduler;
import org.basilport.policy.limit.TokenBucket;

/** Instances that send orders to the engines of one service, on one virtual clock. */
final class OrderFleet {
  static final String SERVICE = "llm";

  /** Makes each instance consider itself the owner, as with diverging membership views. */
  static final String EVERY_INSTANCE = "";

  static final double FETCHES_PER_SECOND = 0.1;

  final VirtualScheduler scheduler = new VirtualScheduler(Instant.parse("2026-01-05T08:00:00Z"));
  final FakeObjectStore store = new FakeObjectStore(scheduler);
  final Map<String, OrderedEngine> engines = new LinkedHashMap<>();
  final List<OrderInstance> instances = new ArrayList<>();
  String owner = "i0";
  int grantedFetches;
  private final TokenBucket fetchLimiter = new TokenBucket(FETCHES_PER_SECOND, 2, 0);
  private Deployment deployment;

  OrderFleet(int instanceCount, int engineCount) {
    place(Map.of("base", 1));
    for (int i = 0; i < engineCount; i++) {
      engines.put("e" + i, new OrderedEngine(scheduler));
    }
    for (int i = 0; i < instanceCount; i++) {
      instances.add(new OrderInstance(this, "i" + i, new SplittableRandom(i)));
    }
  }

  /** Applies placements at all instances, as minimum numbers of replicas by model. */
  void place(Map<String, Integer> models) {
    List<ModelPlacement> placements = new ArrayList<>();
    models.forEach(
        (model, replicas) ->
            placements.add(new ModelPlacement(model, SERVICE, model, replicas, 1)));
    deployment = new Deployment("site", List.of(), List.of(), List.of(), List.of(), placements);
  }

  Optional<AcceptedConfiguration> inForce() {
    return Optional.of(new AcceptedConfiguration(1, "apply", "test", scheduler.now(), deployment));
  }

  /** Advances time and checks every 100 ms that at most one instance holds the lease. */
  void run(int seconds) {
    for (int i = 0; i < seconds * 10; i++) {
      scheduler.runFor(Duration.ofMillis(100));
      List<String> holders =
          instances.stream().filter(OrderInstance::mayOrder).map(x -> x.id).toList();
      assertWithMessage("holders " + holders).that(holders.size()).isAtMost(1);
    }
  }

  CompletableFuture<Void> reserve() {
    long now = scheduler.nanoTime();
    if (fetchLimiter.tryTake(1, now)) {
      grantedFetches++;
      return CompletableFuture.completedFuture(null);
    }
    Duration wait = Duration.ofMillis(fetchLimiter.waitMillis(1, now));
    return CompletableFuture.failedFuture(
        new RejectedException(FailureCode.OVER_LIMIT, Step.STORE, wait, "too many fetches"));
  }

  int fetches() {
    return engines.values().stream().mapToInt(engine -> engine.fetches).sum();
  }

  long replicas(String model) {
    return engines.values().stream().filter(e -> e.loaded().contains(model)).count();
  }

  /** Returns the models that engines have loaded, without loads in progress. */
  TreeSet<String> loadedModels() {
    TreeSet<String> models = new TreeSet<>();
    engines.values().forEach(engine -> models.addAll(engine.loaded()));
    return models;
  }

  long events(EventType type) {
    return instances.stream().mapToLong(instance -> instance.events(type)).sum();
  }

  Member member(String id) {
    return new Member(id, 1, MemberStatus.SERVING, MemberHealth.ALIVE, "r", "dc", id, id, 1, 0);
  }
}
