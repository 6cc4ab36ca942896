package org.basilport.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.basilport.backend.BackendServer;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ModelPlacement;
import org.basilport.engine.EngineOrder;
import org.basilport.error.BasilportException;
import org.basilport.error.ConflictException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.event.Invariant;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Deadline;
import org.basilport.misc.Scheduler;
import org.basilport.policy.limit.FullJitterBackoff;
import org.basilport.policy.placement.EngineState;
import org.basilport.policy.placement.ModelName;
import org.basilport.policy.placement.ModelRequirement;
import org.basilport.policy.placement.PlacementPlan;
import org.basilport.policy.placement.PlacementPlanner;
import org.basilport.policy.placement.PlacementSettings;

/**
 * Brings the engines of a service to their targets while this instance holds the leader lease.
 * Confined to the control scheduler unless noted otherwise.
 *
 * <p>An order contains the complete target of an engine, so the next order corrects a repeated or
 * delayed one. An engine that ignores fencing tokens can accept an old order at any time. The
 * holder detects this from the next report and repeats the target in the next round, or, if the
 * engine had accepted an order, at the latest when {@link OrderTiming#targetTimeout} has passed.
 * The engine has the wrong models for at most the target timeout, one round, the age of the report,
 * the wait for the weight store and the load.
 */
public final class Reconciler {
  private static final String ROLE = "decode";
  private static final int MAX_OPEN_ORDERS = 4;
  private static final long BACKOFF_BASE_MILLIS = 1_000;
  private static final long MAX_BACKOFF_MILLIS = 30_000;

  private final String service;
  private final LeaderLease lease;
  private final OrderEnvironment environment;
  private final FleetDemand demand;
  private final OrderTiming timing;
  private final PlacementSettings placement;
  private final Scheduler control;
  private final SplittableRandom random;
  private final FullJitterBackoff backoff;
  private final Map<String, EngineProgress> engines = new TreeMap<>();
  private Cancellable roundTimer = () -> {};
  private Optional<PlacementPlanner> planner = Optional.empty();
  private long startAtNanos;
  private long nextFetchNanos;
  private boolean reservationInFlight;
  private int openOrders;
  private volatile OrderStatus status;

  /** Creates a reconciler that has not started. */
  public Reconciler(
      String service,
      LeaderLease lease,
      OrderEnvironment environment,
      FleetDemand demand,
      OrderTiming timing,
      PlacementSettings placement,
      SplittableRandom random) {
    this.service = service;
    this.lease = lease;
    this.environment = environment;
    this.demand = demand;
    this.timing = timing;
    this.placement = placement;
    this.control = environment.control();
    this.random = random;
    this.backoff = new FullJitterBackoff(BACKOFF_BASE_MILLIS, MAX_BACKOFF_MILLIS, random.split());
    this.nextFetchNanos = control.nanoTime();
    this.status = new OrderStatus(service, "", false, 0, List.of());
  }

  /** Starts reconciling. */
  public void start() {
    roundTimer = control.scheduleRepeating(timing.round(), this::runRound);
  }

  /** Stops sending orders. */
  public void stop() {
    roundTimer.cancel();
    reset();
  }

  /** Returns the state after the latest round; any thread. */
  public OrderStatus status() {
    return status;
  }

  private void runRound() {
    List<ModelRequirement> requirements = requirements();
    if (lease.token().isEmpty() || requirements.isEmpty()) {
      reset();
    } else {
      reconcile(requirements);
    }
    status =
        new OrderStatus(
            service,
            lease.latest().map(LeaseRecord::holder).orElse(""),
            lease.token().isPresent(),
            lease.token().orElse(0),
            engines.values().stream()
                .filter(e -> !e.targetReached)
                .map(e -> e.toPending())
                .toList());
  }

  private List<ModelRequirement> requirements() {
    List<ModelPlacement> placements =
        environment
            .configuration()
            .current()
            .map(AcceptedConfiguration::deployment)
            .map(deployment -> deployment.placements(service))
            .orElse(List.of());
    return placements.stream()
        .map(p -> new ModelRequirement(p.model(), p.minimumReplicas(), p.requestsPerReplica()))
        .toList();
  }

  /**
   * Drops all state: another holder may change the engines before this one holds the lease again.
   */
  private void reset() {
    planner = Optional.empty();
    engines.clear();
  }

  private void reconcile(List<ModelRequirement> requirements) {
    long now = control.nanoTime();
    if (planner.isEmpty()) {
      planner = Optional.of(new PlacementPlanner(placement, now));
      startAtNanos = now + random.nextLong(timing.startSpread().toNanos() + 1);
    }
    if (now - startAtNanos < 0) {
      return;
    }
    List<BackendServer> servers = environment.backends().candidates(service);
    Map<String, EngineState> reported = new TreeMap<>();
    for (BackendServer server : servers) {
      environment
          .backends()
          .latestReport(server.id())
          .filter(report -> report.incarnation() == server.incarnation())
          .map(report -> new EngineState(server.id(), new TreeSet<>(report.loadedModels())))
          .ifPresent(state -> reported.put(server.id(), state));
    }
    PlacementPlan plan =
        planner.get().plan(requirements, demand.arrivalRates(), reported.values(), now);
    engines.keySet().retainAll(reported.keySet());
    servers.stream()
        .filter(server -> reported.containsKey(server.id()))
        .forEach(server -> update(server, plan, reported.get(server.id()), now));
    engines.values().forEach(this::advance);
  }

  private void update(BackendServer server, PlacementPlan plan, EngineState state, long now) {
    EngineProgress known = engines.get(server.id());
    if (known == null || known.server.incarnation() != server.incarnation()) {
      known = new EngineProgress(server, now);
      engines.put(server.id(), known);
    }
    known.update(server, plan.targets().get(server.id()), state.loaded(), now);
  }

  private void advance(EngineProgress engine) {
    long now = control.nanoTime();
    long token = lease.token().orElse(0);
    boolean mustWait =
        engine.targetReached || engine.requestInFlight || now - engine.nextOrderNanos < 0;
    // A new order with a newer token is safe: an engine that enforces fencing then refuses the
    // unacknowledged order if it arrives later.
    if (mustWait || token == 0 || engine.unacknowledgedToken >= token) {
      return;
    }
    SortedSet<String> missing = engine.missing();
    missing.removeAll(engine.reservedModels);
    if (!missing.isEmpty()) {
      reserve(engine, missing.first());
    } else if (openOrders < MAX_OPEN_ORDERS) {
      send(engine, token);
    }
  }

  private void reserve(EngineProgress engine, String model) {
    if (reservationInFlight || control.nanoTime() - nextFetchNanos < 0) {
      return;
    }
    reservationInFlight = true;
    engine.requestInFlight = true;
    ModelName name = ModelName.parse(model);
    Deadline.limit(
            environment.weights().reserveFetch(name.name(), name.version()),
            control,
            timing.responseTimeout(),
            () -> timeout("the weight store"))
        .whenCompleteAsync((done, failure) -> onReservation(engine, model, failure), control);
  }

  private void onReservation(EngineProgress engine, String model, Throwable failure) {
    reservationInFlight = false;
    engine.requestInFlight = false;
    if (failure == null) {
      engine.reservedModels.add(model);
      if (isTracked(engine)) {
        advance(engine);
      }
      return;
    }
    BasilportException cause = BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.STORE);
    engine.attempts++;
    long jitter = backoff.delayMillis(engine.attempts);
    long delay = cause.retryAfter().map(Duration::toMillis).orElse(0L) + 1 + jitter;
    // The weight store's limit is shared by all engines, so all fetches wait.
    nextFetchNanos = control.nanoTime() + Duration.ofMillis(delay).toNanos();
    environment
        .events()
        .record(
            EventType.FETCH_REFUSED,
            EventSubject.server(engine.server.id()),
            model,
            engine.server.id(),
            delay);
  }

  private boolean isTracked(EngineProgress engine) {
    return engines.get(engine.server.id()) == engine;
  }

  private void send(EngineProgress engine, long token) {
    SortedSet<String> missing = engine.missing();
    Invariant.check(
        engine.reservedModels.containsAll(missing),
        environment.events(),
        "loads-are-reserved",
        engine.server.id() + " would load " + missing + ", reserved " + engine.reservedModels);
    engine.reservedModels.removeAll(missing);
    List<String> models = new ArrayList<>(engine.target);
    BackendServer server = engine.server;
    engine.requestInFlight = true;
    engine.attempts++;
    openOrders++;
    environment
        .events()
        .record(EventType.ORDER_SENT, EventSubject.server(server.id()), models, server.id(), token);
    Deadline.limit(
            environment
                .engines()
                .connect(server.address())
                .order(new EngineOrder(token, ROLE, models)),
            control,
            timing.responseTimeout(),
            () -> timeout(server.id()))
        .whenCompleteAsync(
            (done, failure) -> onOrderResponse(engine, models, token, failure), control);
  }

  private void onOrderResponse(
      EngineProgress engine, List<String> models, long token, Throwable failure) {
    openOrders--;
    engine.requestInFlight = false;
    if (failure == null) {
      engine.unacknowledgedToken = 0;
      engine.nextOrderNanos = control.nanoTime() + timing.targetTimeout().toNanos();
      return;
    }
    BasilportException cause = BasilportException.unwrap(failure, Outcome.MAY_HAVE_RUN, Step.SEND);
    engine.unacknowledgedToken = cause.outcome() == Outcome.NOT_RUN ? 0 : token;
    long delay = backoff.delayMillis(engine.attempts);
    engine.nextOrderNanos = control.nanoTime() + Duration.ofMillis(delay).toNanos();
    if (cause instanceof ConflictException) {
      lease.recheck();
    }
    String id = engine.server.id();
    environment
        .events()
        .record(EventType.ORDER_REFUSED, EventSubject.server(id), models, id, cause.getMessage());
  }

  private static UnavailableException timeout(String peer) {
    return new UnavailableException(
        FailureCode.TIMEOUT,
        Outcome.MAY_HAVE_RUN,
        Step.SEND,
        peer,
        null,
        peer + " did not respond in time",
        null);
  }
}
