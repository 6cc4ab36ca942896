package org.basilport.policy.routing;

import java.util.Arrays;
import java.util.List;

/**
 * Ejects replicas whose time between tokens is far above the median.
 *
 * <p>A minimum share of the replicas stays eligible: when many are slow, the cause is usually the
 * load, and ejecting them would move it to the rest. An ejection ends after a fixed time, because
 * without new work the time between tokens of a replica falls and no longer shows whether it has
 * recovered.
 */
public final class OutlierEjector {
  /** Multiple of the median time between tokens above which a replica is ejected. */
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
   * Updates the end of each replica's ejection.
   *
   * @param replicas replicas with their latest reports
   * @param ejectedUntil end of the ejection by replica, in monotonic nanoseconds; updated in place
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
