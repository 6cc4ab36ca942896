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

/** The duties and orders of all services that have placements. */
public final class EngineOrderController {
  private final OrderEnvironment environment;
  private final LeaseTiming leases;
  private final OrderTiming timing;
  private final PlacementSettings placement;
  private final SplittableRandom random;
  private final FleetDemand demand;
  private final Map<String, DutyLease> duties = new TreeMap<>();
  private final Map<String, Reconciler> reconcilers = new ConcurrentSkipListMap<>();
  private Cancellable rounds = () -> {};
  private boolean running;

  /** Creates orders with default times. */
  public EngineOrderController(OrderEnvironment environment, SplittableRandom random) {
    this(
        environment,
        LeaseTiming.defaults(),
        OrderTiming.defaults(),
        PlacementSettings.defaults(),
        random);
  }

  /** Creates orders that have not started. */
  public EngineOrderController(
      OrderEnvironment environment,
      LeaseTiming leases,
      OrderTiming timing,
      PlacementSettings placement,
      SplittableRandom random) {
    this.environment = environment;
    this.leases = leases;
    this.timing = timing;
    this.placement = placement;
    this.random = random;
    this.demand = new FleetDemand(environment.membership(), environment.control());
  }

  /** Starts to follow the placements of the configuration in force. */
  public void start() {
    environment
        .control()
        .execute(
            () -> {
              running = true;
              rounds = environment.control().scheduleRepeating(timing.round(), this::follow);
            });
  }

  /** Gives no more orders and releases the duties that are held. */
  public void stop() {
    environment
        .control()
        .execute(
            () -> {
              running = false;
              rounds.cancel();
              List.copyOf(duties.keySet()).forEach(this::remove);
            });
  }

  /** Counts a generation that arrived at this instance; any thread. */
  public void recordArrival(String model) {
    demand.arrived(model);
  }

  /** Duties and pending orders as this instance sees them; any thread. */
  public List<OrderStatus> status() {
    return reconcilers.values().stream().map(Reconciler::status).toList();
  }

  /** Whether this instance may order the engines of a service now; on the control thread. */
  boolean mayOrder(String service) {
    DutyLease lease = duties.get(service);
    return lease != null && lease.token().isPresent();
  }

  private void follow() {
    TreeSet<String> services = new TreeSet<>();
    environment
        .configuration()
        .current()
        .map(AcceptedConfiguration::deployment)
        .ifPresent(
            d -> d.placements().stream().map(ModelPlacement::service).forEach(services::add));
    List.copyOf(duties.keySet()).stream().filter(s -> !services.contains(s)).forEach(this::remove);
    if (running) {
      services.stream().filter(s -> !duties.containsKey(s)).forEach(this::add);
    }
  }

  private void add(String service) {
    DutyLease lease =
        new DutyLease(
            service,
            environment.store(),
            environment.membership(),
            environment.control(),
            environment.events(),
            leases,
            random.split());
    Reconciler reconciler =
        new Reconciler(service, lease, environment, demand, timing, placement, random.split());
    duties.put(service, lease);
    reconcilers.put(service, reconciler);
    lease.start();
    reconciler.start();
  }

  private void remove(String service) {
    duties.remove(service).stop();
    reconcilers.remove(service).stop();
  }
}
