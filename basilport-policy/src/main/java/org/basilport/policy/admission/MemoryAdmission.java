package org.basilport.policy.admission;

/**
 * Admits a generation to a replica when the forecast memory fits at each future step, at a chosen
 * risk.
 *
 * <p>Lengths are independent given what is known, so the memory of a batch is close to normally
 * distributed and the rule is: mean plus a quantile times the standard deviation is at most the
 * capacity. Adding up the quantiles of single generations instead would leave much of the memory
 * unused, since not all of them are long at once.
 *
 * <p>Work of other instances is forecast from its reported size, with the growth of this instance's
 * own work, since all instances serve the same mix. Of the memory that a report shows as free, an
 * instance takes at most its share until the next report, because the others may do the same.
 * Memory that its own work gave back since then is not visible to the others, and is used again at
 * once. A generation that is larger than the share would never fit, so each instance is at random
 * allowed to use all of the free memory in a few of its turns.
 */
public final class MemoryAdmission {
  /**
   * Share of the memory that is filled. The rest absorbs placements of other instances that no
   * report shows yet, which the forecast's variance does not cover.
   */
  private static final double USABLE = 0.975;

  /** A generation whose memory stays below this share of a replica's is small. */
  private static final double SMALL = 0.01;

  /** Share of the memory below which a generation does not matter to a forecast. */
  private static final double NEGLIGIBLE = 0.0005;

  /** Share of the memory that small generations may fill. */
  private static final double USABLE_BY_SMALL = 0.99;

  private static final double CREDIT_OVER_PART = 0.75;

  private final double deviations;
  private final MemoryForecast fleet = new MemoryForecast();
  private int feedingInstances = 1;

  /**
   * Creates the rule.
   *
   * @param risk accepted probability that the admitted work outgrows the memory
   */
  public MemoryAdmission(double risk) {
    this.deviations = NormalQuantile.of(1 - risk);
  }

  /** Sets the number of instances that place work on the same replicas. */
  public void feedingInstances(int count) {
    feedingInstances = Math.max(1, count);
  }

  /** Adjusts the forecast of all own work, from which the growth of others' work is derived. */
  public void adjustFleet(MemoryForecast forecast, double factor) {
    fleet.add(forecast, factor);
  }

  /** Returns whether a replica has room for a generation. */
  public boolean admits(ReplicaLedger ledger, MemoryForecast candidate) {
    if (ledger.empty() || admitsSmall(ledger, candidate)) {
      return true;
    }
    double capacity = USABLE * ledger.state().capacityTokens();
    double held = Math.max(1, fleet.mean(0));
    double others = ledger.othersHeld() / held;
    for (int i = 0; i < MemoryForecast.SIZE; i++) {
      double mean = ledger.own().mean(i) + growth(i, others, ledger);
      double variance = ledger.own().variance(i) + others * fleet.variance(i);
      double after =
          mean
              + candidate.mean(i)
              + deviations * Math.sqrt(Math.max(0, variance + candidate.variance(i)));
      if (after > capacity) {
        return false;
      }
      double freshMean = ledger.fresh().mean(i);
      double free = Math.max(0, capacity - mean + freshMean);
      double share = ledger.turn() ? free : free / feedingInstances;
      if (freshMean + candidate.mean(i) > share) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a generation is so small and short that it may use the memory that is otherwise
   * kept free.
   */
  private boolean admitsSmall(ReplicaLedger ledger, MemoryForecast candidate) {
    double capacity = ledger.state().capacityTokens();
    double others = ledger.othersHeld() / Math.max(1, fleet.mean(0));
    for (int i = 0; i < MemoryForecast.SIZE; i++) {
      if (candidate.mean(i) > SMALL * capacity) {
        return false;
      }
      double after = ledger.own().mean(i) + growth(i, others, ledger) + candidate.mean(i);
      boolean matters = i == 0 || candidate.mean(i) > NEGLIGIBLE * capacity;
      if (matters && after > USABLE_BY_SMALL * capacity) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the share of the memory of ended work that this instance may use again at once.
   *
   * <p>An instance that holds more than its part of a replica gives some of it up. Otherwise the
   * instances that filled the memory first would keep it, and work at the others would starve.
   */
  public double credit(ReplicaLedger ledger) {
    double own = ledger.own().mean(0);
    boolean over = own * feedingInstances > own + ledger.othersHeld();
    return over ? CREDIT_OVER_PART : 1;
  }

  private double growth(int index, double others, ReplicaLedger ledger) {
    return fleet.mean(0) < 1
        ? ledger.othersHeld()
        : others * fleet.meanAfter(index, ledger.ageSteps());
  }
}
