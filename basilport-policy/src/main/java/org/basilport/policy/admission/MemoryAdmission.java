package org.basilport.policy.admission;

/**
 * Admits a generation to a replica when the forecast memory fits at each future step, with a given
 * risk of exceeding it.
 *
 * <p>The lengths of generations are treated as independent, so the memory of a batch is
 * approximately normally distributed. The rule is: the mean plus a quantile times the standard
 * deviation is at most the capacity. A sum of the quantiles of single generations would leave much
 * of the memory unused, since not all of them are long at the same time.
 *
 * <p>The memory of other instances' generations is forecast from its reported size and from the
 * growth of this instance's own generations, because all instances serve the same mix. Of the
 * memory that a report shows as free, an instance uses at most an equal share until the next
 * report, because the others may do the same. Memory that its own generations freed since the
 * report is not visible to the others and is used again at once. A generation that is larger than
 * the share would never fit, so each instance may use all free memory in a few randomly drawn
 * periods.
 */
public final class MemoryAdmission {
  /**
   * Share of the memory that is reserved when the report is at most one second old. It absorbs
   * placements of other instances that no report shows yet, which the variance of the forecast does
   * not cover.
   */
  private static final double RESERVED_SHARE = 0.025;

  private static final double MAX_RESERVED_SHARE = 0.1;

  /** Share of a replica's memory up to which a generation counts as small. */
  private static final double SMALL_GENERATION_SHARE = 0.01;

  /** Share of the memory below which a generation is ignored at a future step. */
  private static final double NEGLIGIBLE_SHARE = 0.0005;

  /** Share of the memory that may be used when a small generation is admitted. */
  private static final double USABLE_SHARE_FOR_SMALL = 0.99;

  private static final double REUSABLE_SHARE_ABOVE_FAIR_SHARE = 0.75;

  private final double riskQuantile;
  private final MemoryForecast ownTotal = new MemoryForecast();
  private int placingInstances = 1;

  /**
   * Creates an admission rule.
   *
   * @param risk accepted probability that admitted generations outgrow the memory
   */
  public MemoryAdmission(double risk) {
    this.riskQuantile = NormalQuantile.of(1 - risk);
  }

  /** Sets the number of instances that place generations on the same replicas. */
  public void placingInstances(int count) {
    placingInstances = Math.max(1, count);
  }

  /**
   * Adds to the total forecast of this instance, from which the growth of other instances' memory
   * is derived.
   *
   * @param factor 1 to add the forecast, -1 to remove it
   */
  public void adjustOwnTotal(MemoryForecast forecast, double factor) {
    ownTotal.add(forecast, factor);
  }

  /** Returns whether a replica has memory for a generation. */
  public boolean admits(ReplicaMemoryTracker replica, MemoryForecast candidate) {
    if (replica.idle() || admitsSmall(replica, candidate)) {
      return true;
    }
    double capacity = usableShare(replica) * replica.latestReport().capacityTokens();
    double ownTokens = Math.max(1, ownTotal.mean(0));
    double peerRatio = replica.peerTokens() / ownTokens;
    for (int i = 0; i < MemoryForecast.HORIZON_COUNT; i++) {
      double mean = replica.ownForecast().mean(i) + peerTokensAt(i, peerRatio, replica);
      double variance = replica.ownForecast().variance(i) + peerRatio * ownTotal.variance(i);
      double required =
          mean
              + candidate.mean(i)
              + riskQuantile * Math.sqrt(Math.max(0, variance + candidate.variance(i)));
      if (required > capacity) {
        return false;
      }
      double unreportedMean = replica.unreportedForecast().mean(i);
      double freeTokens = Math.max(0, capacity - mean + unreportedMean);
      double usableTokens = replica.fullGrant() ? freeTokens : freeTokens / placingInstances;
      if (unreportedMean + candidate.mean(i) > usableTokens) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a generation is small and short enough to use the memory that is otherwise
   * reserved.
   */
  private boolean admitsSmall(ReplicaMemoryTracker replica, MemoryForecast candidate) {
    double capacity = replica.latestReport().capacityTokens();
    double peerRatio = replica.peerTokens() / Math.max(1, ownTotal.mean(0));
    for (int i = 0; i < MemoryForecast.HORIZON_COUNT; i++) {
      if (candidate.mean(i) > SMALL_GENERATION_SHARE * capacity) {
        return false;
      }
      double required =
          replica.ownForecast().mean(i) + peerTokensAt(i, peerRatio, replica) + candidate.mean(i);
      boolean significant = i == 0 || candidate.mean(i) > NEGLIGIBLE_SHARE * capacity;
      if (significant && required > USABLE_SHARE_FOR_SMALL * capacity) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the share of the memory of an ended generation that this instance may use again at
   * once.
   *
   * <p>An instance above its fair share of a replica gives up part of it. Otherwise the instances
   * that filled the memory first would keep it, and work at the others would starve.
   */
  public double reusableShare(ReplicaMemoryTracker replica) {
    double ownTokens = replica.ownForecast().mean(0);
    boolean aboveFairShare = ownTokens * placingInstances > ownTokens + replica.peerTokens();
    return aboveFairShare ? REUSABLE_SHARE_ABOVE_FAIR_SHARE : 1;
  }

  /**
   * Returns the usable share of a replica's memory. Independent placements add up like a random
   * walk, so the reserve grows with the square root of the report's age.
   */
  private static double usableShare(ReplicaMemoryTracker replica) {
    double reserve = RESERVED_SHARE * Math.sqrt(Math.max(1, replica.ageSeconds()));
    return 1 - Math.min(MAX_RESERVED_SHARE, reserve);
  }

  private double peerTokensAt(int index, double peerRatio, ReplicaMemoryTracker replica) {
    return ownTotal.mean(0) < 1
        ? replica.peerTokens()
        : peerRatio * ownTotal.meanAfter(index, replica.ageSteps());
  }
}
