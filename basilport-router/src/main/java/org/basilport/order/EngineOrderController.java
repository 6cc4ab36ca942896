package org.basilport.order;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListMap;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ModelPlacement;
import org.basilport.misc.Cancellable;
import org.basilport.policy.placement.PlacementSettings;

/** Runs the leader lease and the reconciler of each service that has placements. */
public final class EngineOrderController {
  private final OrderEnvironment environment;
  private final LeaseTiming leaseTiming;
  private final OrderTiming timing;
  private final PlacementSettings placement;
  private final SplittableRandom random;
  private final FleetDemand demand;
  private final Map<String, LeaderLease> leases = new TreeMap<>();
  private final Map<String, Reconciler> reconcilers = new ConcurrentSkipListMap<>();
  private Cancellable roundTimer = () -> {};
  private boolean running;

  /** Creates a controller with default timing. */
  public EngineOrderController(OrderEnvironment environment, SplittableRandom random) {
    this(
        environment,
        LeaseTiming.defaults(),
        OrderTiming.defaults(),
        PlacementSettings.defaults(),
        random);
  }

  /** Creates a controller that has not started. */
  public EngineOrderController(
      OrderEnvironment environment,
      LeaseTiming leaseTiming,
      OrderTiming timing,
      PlacementSettings placement,
      SplittableRandom random) {
    this.environment = environment;
    this.leaseTiming = leaseTiming;
    this.timing = timing;
    this.placement = placement;
    this.random = random;
    this.demand = new FleetDemand(environment.membership(), environment.control());
  }

  /** Starts to follow the placements of the current configuration. */
  public void start() {
    environment
        .control()
        .execute(
            () -> {
              running = true;
              roundTimer =
                  environment.control().scheduleRepeating(timing.round(), this::updateServices);
            });
  }

  /** Stops sending orders and releases held leases. */
  public void stop() {
    environment
        .control()
        .execute(
            () -> {
              running = false;
              roundTimer.cancel();
              List.copyOf(leases.keySet()).forEach(this::remove);
            });
  }

  /** Counts a generation request at this instance; any thread. */
  public void recordArrival(String model) {
    demand.recordArrival(model);
  }

  /** Returns the lease holders and pending orders known to this instance; any thread. */
  public List<OrderStatus> status() {
    return reconcilers.values().stream().map(Reconciler::status).toList();
  }

  /** Returns whether this instance holds the lease of a service; on the control thread. */
  boolean mayOrder(String service) {
    LeaderLease lease = leases.get(service);
    return lease != null && lease.token().isPresent();
  }

  private void updateServices() {
    TreeSet<String> services = new TreeSet<>();
    environment
        .configuration()
        .current()
        .map(AcceptedConfiguration::deployment)
        .ifPresent(
            d -> d.placements().stream().map(ModelPlacement::service).forEach(services::add));
    List.copyOf(leases.keySet()).stream().filter(s -> !services.contains(s)).forEach(this::remove);
    if (running) {
      services.stream().filter(s -> !leases.containsKey(s)).forEach(this::add);
    }
  }

  private void add(String service) {
    LeaderLease lease =
        new LeaderLease(
            service,
            environment.store(),
            environment.membership(),
            environment.control(),
            environment.events(),
            leaseTiming,
            random.split());
    Reconciler reconciler =
        new Reconciler(service, lease, environment, demand, timing, placement, random.split());
    leases.put(service, lease);
    reconcilers.put(service, reconciler);
    lease.start();
    reconciler.start();
  }

  private void remove(String service) {
    leases.remove(service).stop();
    reconcilers.remove(service).stop();
  }
}
