package org.basilport.policy.placement;

/** The wanted number of replicas of a model, which follows demand with hysteresis. */
final class ReplicaCount {
  /** Share of the remaining replicas that demand may fill after one is unloaded. */
  private static final double FALL_FILL = 0.7;

  private final PlacementSettings settings;
  private int wanted;
  private long calmSinceRise;
  private long calmSinceFall;

  ReplicaCount(PlacementSettings settings, int wanted, long nowNanos) {
    this.settings = settings;
    this.wanted = wanted;
    this.calmSinceRise = nowNanos;
    this.calmSinceFall = nowNanos;
  }

  int wanted() {
    return wanted;
  }

  /** Follows demand: several replicas up after a warm-up time, one replica down after ten. */
  int update(ModelRequirement need, double rate, int engines, long nowNanos) {
    int largest = Math.max(need.minimumReplicas(), engines);
    int needed = (int) Math.min(largest, Math.ceil(rate / need.requestsPerReplica()));
    if (needed <= wanted) {
      calmSinceRise = nowNanos;
    } else if (nowNanos - calmSinceRise >= settings.riseAfter().toNanos()) {
      wanted = needed;
      calmSinceRise = nowNanos;
    }
    boolean low = rate <= (wanted - 1) * need.requestsPerReplica() * FALL_FILL;
    if (!low || wanted <= need.minimumReplicas()) {
      calmSinceFall = nowNanos;
    } else if (nowNanos - calmSinceFall >= settings.fallAfter().toNanos()) {
      wanted--;
      calmSinceFall = nowNanos;
    }
    wanted = Math.max(wanted, need.minimumReplicas());
    return wanted;
  }
}
