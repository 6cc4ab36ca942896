package org.basilport.policy.placement;

/** Desired number of replicas of a model; follows demand with hysteresis. */
final class DesiredReplicaCount {
  /**
   * Largest share of the capacity of the remaining replicas that demand may use after a scale-down.
   */
  private static final double MAX_FILL_AFTER_SCALE_DOWN = 0.7;

  private final PlacementSettings settings;
  private int desired;

  /** Last time at which demand needed no more replicas than desired. */
  private long lastSufficientNanos;

  /** Last time at which no replica was surplus. */
  private long lastNeededNanos;

  DesiredReplicaCount(PlacementSettings settings, int desired, long nowNanos) {
    this.settings = settings;
    this.desired = desired;
    this.lastSufficientNanos = nowNanos;
    this.lastNeededNanos = nowNanos;
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
      lastSufficientNanos = nowNanos;
    } else if (nowNanos - lastSufficientNanos >= settings.scaleUpDelay().toNanos()) {
      desired = needed;
      lastSufficientNanos = nowNanos;
    }
    boolean surplus =
        rate <= (desired - 1) * requirement.requestsPerReplica() * MAX_FILL_AFTER_SCALE_DOWN;
    if (!surplus || desired <= requirement.minimumReplicas()) {
      lastNeededNanos = nowNanos;
    } else if (nowNanos - lastNeededNanos >= settings.scaleDownDelay().toNanos()) {
      desired--;
      lastNeededNanos = nowNanos;
    }
    desired = Math.max(desired, requirement.minimumReplicas());
    return desired;
  }
}
