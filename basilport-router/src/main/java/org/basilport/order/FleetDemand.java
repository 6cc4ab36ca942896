package org.basilport.order;

import java.time.Duration;
import java.util.Map;
import org.basilport.membership.Member;
import org.basilport.membership.MembershipView;
import org.basilport.misc.Scheduler;
import org.basilport.policy.placement.DemandTracker;

/**
 * Estimates the arrival rates of the whole fleet from those of this instance, assuming that callers
 * are spread evenly over all serving instances. Confined to the control scheduler.
 */
public final class FleetDemand {
  private static final Duration TIME_CONSTANT = Duration.ofMinutes(2);

  private final DemandTracker tracker = new DemandTracker(TIME_CONSTANT);
  private final MembershipView membership;
  private final Scheduler control;

  /** Creates an estimator without arrivals. */
  public FleetDemand(MembershipView membership, Scheduler control) {
    this.membership = membership;
    this.control = control;
  }

  /** Counts a generation request at this instance; any thread. */
  public void recordArrival(String model) {
    control.execute(() -> tracker.recordArrival(model, control.nanoTime()));
  }

  /** Returns the fleet's arrivals per second, by model name without version. */
  Map<String, Double> arrivalRates() {
    long serving = membership.members().stream().filter(Member::serving).count();
    Map<String, Double> rates = tracker.rates(control.nanoTime());
    rates.replaceAll((model, rate) -> rate * Math.max(1, serving));
    return rates;
  }
}
