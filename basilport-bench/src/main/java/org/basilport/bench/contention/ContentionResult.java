package org.basilport.bench.contention;

import java.util.Arrays;

/**
 * Measures of a simulation.
 *
 * @param shares tokens of each workspace over the mean of all
 * @param refused number of refusals
 * @param returnedInTime number of requests that returned at the stated time
 * @param foundCapacity number of those that were placed
 * @param refusedWithCapacity number of refusals while a slot that the instance uses was free
 * @param utilization fraction of the slots that were occupied
 */
public record ContentionResult(
    double[] shares,
    long refused,
    long returnedInTime,
    long foundCapacity,
    long refusedWithCapacity,
    double utilization) {

  /** Share of the first workspace. */
  public double first() {
    return shares[0];
  }

  /** Smallest share of the other workspaces. */
  public double smallestOther() {
    return Arrays.stream(shares).skip(1).min().orElse(0);
  }

  /** Largest share of the other workspaces. */
  public double largestOther() {
    return Arrays.stream(shares).skip(1).max().orElse(0);
  }
}
