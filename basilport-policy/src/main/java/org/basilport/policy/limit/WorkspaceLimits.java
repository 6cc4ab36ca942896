package org.basilport.policy.limit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Request rate limits per workspace, split over the live instances.
 *
 * <p>The number of buckets is bounded; the one that was used least recently is dropped first. A
 * dropped bucket starts full again, so its workspace may gain one burst.
 */
public final class WorkspaceLimits {
  private static final int INITIAL = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final double fleetRate;
  private final double fleetBurst;
  private final Map<String, TokenBucket> buckets;
  private int liveInstances = 1;

  /**
   * Creates limits.
   *
   * @param fleetRate requests per second and workspace over all instances, for a weight of 1
   * @param fleetBurst largest burst over all instances, in requests, for a weight of 1
   * @param workspaceLimit largest number of workspaces that are remembered
   */
  public WorkspaceLimits(double fleetRate, double fleetBurst, int workspaceLimit) {
    this.fleetRate = fleetRate;
    this.fleetBurst = fleetBurst;
    this.buckets =
        new LinkedHashMap<>(INITIAL, LOAD_FACTOR, true) {
          @Override
          protected boolean removeEldestEntry(Map.Entry<String, TokenBucket> eldest) {
            return size() > workspaceLimit;
          }
        };
  }

  /** Takes one request of a workspace if its limit allows it. */
  public boolean tryTake(String workspace, double weight, long nowNanos) {
    return bucket(workspace, weight, nowNanos).tryTake(1, nowNanos);
  }

  /** Returns when a refused workspace may try again, in milliseconds. */
  public long retryAfterMillis(String workspace, double weight, long nowNanos) {
    return bucket(workspace, weight, nowNanos).waitMillis(1, nowNanos);
  }

  /** Sets the number of live instances over which the limits are split. */
  public void liveInstances(int count) {
    liveInstances = Math.max(1, count);
  }

  private TokenBucket bucket(String workspace, double weight, long nowNanos) {
    double rate = fleetRate * weight / liveInstances;
    double burst = Math.max(1, fleetBurst * weight / liveInstances);
    TokenBucket bucket = buckets.get(workspace);
    if (bucket == null) {
      bucket = new TokenBucket(rate, burst, nowNanos);
      buckets.put(workspace, bucket);
    }
    bucket.resize(rate, burst, nowNanos);
    return bucket;
  }
}
