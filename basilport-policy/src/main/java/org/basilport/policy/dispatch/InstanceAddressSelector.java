package org.basilport.policy.dispatch;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Selects the addresses that the directory returns to callers.
 *
 * <p>The load it answers: callers that ask during losses and returns of instances, and callers of
 * hosts whose requests must stay in their home regions. The selection takes place when a caller
 * asks, so that a list that was made before a pause of this process does not outlive it.
 */
public final class InstanceAddressSelector {
  /**
   * Age of the last run time above which an instance is not returned. An instance that is gone must
   * not be returned after 7 s; the rest is a reserve for the delay of an answer.
   */
  public static final long MAX_RUN_AGE_NANOS = TimeUnit.SECONDS.toNanos(6);

  private InstanceAddressSelector() {}

  /**
   * Selected addresses.
   *
   * @param addresses the addresses, in the order of the instances
   * @param outsideHome whether no instance of a home region or of the caller's region is ready, so
   *     that others are returned
   */
  public record Selection(List<String> addresses, boolean outsideHome) {}

  /**
   * Selects ready instances that have run lately: those in a home region or in the caller's region;
   * all if there are none.
   *
   * @param home home regions of the host
   * @param callerRegion region of the caller; empty if it is not known
   */
  public static Selection select(
      List<InstanceAddress> instances, AllowedRegions home, String callerRegion, long nowNanos) {
    List<InstanceAddress> usable =
        instances.stream()
            .filter(instance -> instance.ready() && ranLately(instance, nowNanos))
            .toList();
    List<String> near =
        usable.stream()
            .filter(instance -> isNear(instance.region(), home, callerRegion))
            .map(InstanceAddress::address)
            .toList();
    return near.isEmpty()
        ? new Selection(
            usable.stream().map(InstanceAddress::address).toList(),
            home.restricted() && !usable.isEmpty())
        : new Selection(near, false);
  }

  private static boolean ranLately(InstanceAddress instance, long nowNanos) {
    return instance.lastRunNanos().isPresent()
        && nowNanos - instance.lastRunNanos().getAsLong() <= MAX_RUN_AGE_NANOS;
  }

  private static boolean isNear(String region, AllowedRegions home, String callerRegion) {
    return home.permits(region) || (!region.isEmpty() && region.equals(callerRegion));
  }
}
