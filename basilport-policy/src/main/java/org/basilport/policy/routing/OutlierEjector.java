package org.basilport.policy.routing;

import java.util.Arrays;
import java.util.List;

/**
 * Takes replicas out of the choice whose time between tokens is far above that of the others.
 *
 * <p>A set share of the replicas always stays eligible: when many are slow, the cause is usually
 * the load, and ejecting them would move it to the rest. An ejected replica comes back after a
 * while, because without new work its time between tokens falls and tells little.
 */
public final class OutlierEjector {
  /** Multiple of the median at which a replica is ejected. */
  private static final double EJECTION_FACTOR = 2;

  private static final long EJECTION_NANOS = 30_000_000_000L;

  private final double minEligibleShare;

  /**
   * Creates an ejector.
   *
   * @param minEligibleShare share of the replicas that always stays eligible
   */
  public OutlierEjector(double minEligibleShare) {
    this.minEligibleShare = minEligibleShare;
  }

  /**
   * Updates until when each replica is ejected.
   *
   * @param replicas replicas with their latest reports
   * @param ejectedUntil monotonic time per replica, in nanoseconds; updated in place
   */
  public void update(List<? extends ReplicaLoad> replicas, long[] ejectedUntil, long nowNanos) {
    int size = replicas.size();
    double[] millis = new double[size];
    int ejected = 0;
    for (int i = 0; i < size; i++) {
      millis[i] = replicas.get(i).medianTokenMillis();
      ejected += ejectedUntil[i] > nowNanos ? 1 : 0;
    }
    double[] sorted = millis.clone();
    Arrays.sort(sorted);
    double thresholdMillis = EJECTION_FACTOR * sorted[size / 2];
    int maxEjected = size - (int) Math.ceil(minEligibleShare * size);
    for (int i = 0; i < size && thresholdMillis > 0; i++) {
      boolean alreadyEjected = ejectedUntil[i] > nowNanos;
      if (millis[i] > thresholdMillis && (alreadyEjected || ejected < maxEjected)) {
        ejected += alreadyEjected ? 0 : 1;
        ejectedUntil[i] = nowNanos + EJECTION_NANOS;
      }
    }
  }
}
