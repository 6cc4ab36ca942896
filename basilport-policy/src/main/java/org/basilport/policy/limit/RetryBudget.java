package org.basilport.policy.limit;

/**
 * Allows retries up to a share of first tries.
 *
 * <p>Each first try adds its share of a retry; a retry takes a whole one. The number of retries is
 * therefore at most the share times the number of first tries, at any time and not only on average.
 * Without such a bound, retries of a failing service multiply the load that made it fail. Savings
 * are bounded, so that a quiet day does not pay for a burst of retries. Safe to use from any
 * thread.
 */
public final class RetryBudget {
  /** Parts into which one retry is divided; whole numbers add up without rounding. */
  private static final long PARTS = 1_000;

  private final long partsPerFirstTry;
  private final long savedLimit;
  private long saved;

  /**
   * Creates an empty budget.
   *
   * @param share retries per first try, for example 0.1
   * @param savedRetries largest number of retries that are saved up
   */
  public RetryBudget(double share, int savedRetries) {
    this(share, savedRetries, 0);
  }

  /**
   * Creates a budget that holds some retries before the first try.
   *
   * @param initialRetries retries that are allowed beyond the share, at most {@code savedRetries}
   */
  public RetryBudget(double share, int savedRetries, int initialRetries) {
    this.saved = Math.min(savedRetries, initialRetries) * PARTS;
    this.partsPerFirstTry = (long) Math.floor(share * PARTS);
    this.savedLimit = savedRetries * PARTS;
  }

  /** Counts a first try. */
  public synchronized void recordFirstAttempt() {
    saved = Math.min(savedLimit, saved + partsPerFirstTry);
  }

  /** Takes a retry if the budget allows it. */
  public synchronized boolean tryRetry() {
    if (saved < PARTS) {
      return false;
    }
    saved -= PARTS;
    return true;
  }
}
