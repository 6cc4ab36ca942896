package org.basilport.order;

import java.time.Duration;
import java.util.Map;
import org.basilport.membership.Member;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Scheduler;
import org.basilport.policy.placement.DemandTracker;

/**
 * Arrival rates of the whole fleet, estimated from those of this instance: callers are spread over
 * all serving instances. Runs on the control thread.
 */
public final class FleetDemand {
  private static final Duration TIME_CONSTANT = Duration.ofMinutes(2);

  private final DemandTracker tracker = new DemandTracker(TIME_CONSTANT);
  private final MembershipView membership;
  private final Scheduler control;

  /** Creates an estimate without arrivals. */
  public FleetDemand(MembershipView membership, Scheduler control) {
    this.membership = membership;
    this.control = control;
  }

  /** Counts a generation that arrived at this instance; any thread. */
  public void arrived(String model) {
    control.execute(() -> tracker.recordArrival(model, control.nanoTime()));
  }

  /** Returns arrivals per second of the whole fleet by model name without version. */
  Map<String, Double> rates() {
    long serving = membership.members().stream().filter(Member::serving).count();
    Map<String, Double> rates = tracker.rates(control.nanoTime());
    rates.replaceAll((model, rate) -> rate * Math.max(1, serving));
    return rates;
  }
}
