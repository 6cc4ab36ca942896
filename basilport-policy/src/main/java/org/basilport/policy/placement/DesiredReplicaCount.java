package org.basilport.policy.placement;

/** Desired number of replicas of a model; follows demand with hysteresis. */
final class DesiredReplicaCount {
  /**
   * Largest share of the capacity of the remaining replicas that demand may use after a scale-down.
   */
  private static final double MAX_FILL_AFTER_SCALE_DOWN = 0.7;

  private final PlacementSettings settings;
  private int desired;
  private long notAboveNanos;
  private long notBelowNanos;

  DesiredReplicaCount(PlacementSettings settings, int desired, long nowNanos) {
    this.settings = settings;
    this.desired = desired;
    this.notAboveNanos = nowNanos;
    this.notBelowNanos = nowNanos;
  }

  int desired() {
    return desired;
  }

  /**
   * Updates the count for the current demand: scales up by several replicas after {@code
   * scaleUpDelay}, and down by one replica after {@code scaleDownDelay}.
   */
  int update(ModelRequirement requirement, double rate, int engines, long nowNanos) {
    int largest = Math.max(requirement.minimumReplicas(), engines);
    int needed = (int) Math.min(largest, Math.ceil(rate / requirement.requestsPerReplica()));
    if (needed <= desired) {
      notAboveNanos = nowNanos;
    } else if (nowNanos - notAboveNanos >= settings.scaleUpDelay().toNanos()) {
      desired = needed;
      notAboveNanos = nowNanos;
    }
    boolean low =
        rate <= (desired - 1) * requirement.requestsPerReplica() * MAX_FILL_AFTER_SCALE_DOWN;
    if (!low || desired <= requirement.minimumReplicas()) {
      notBelowNanos = nowNanos;
    } else if (nowNanos - notBelowNanos >= settings.scaleDownDelay().toNanos()) {
      desired--;
      notBelowNanos = nowNanos;
    }
    desired = Math.max(desired, requirement.minimumReplicas());
    return desired;
  }
}
