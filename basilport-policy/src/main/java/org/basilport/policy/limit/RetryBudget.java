package org.basilport.policy.limit;

/**
 * Limits retries to a share of the first attempts.
 *
 * <p>Each first attempt adds its share of a retry, and a retry takes a whole one. At any time the
 * number of retries is therefore at most the share times the number of first attempts, plus the
 * initial retries. Without a budget, the retries of a failing service multiply the load that made
 * it fail. The balance is bounded, so that a period without failures does not allow a burst of
 * retries. Thread-safe.
 */
public final class RetryBudget {
  /** Units per retry; whole numbers add up without rounding errors. */
  private static final long UNITS_PER_RETRY = 1_000;

  private final long unitsPerFirstAttempt;
  private final long maxSavedUnits;
  private long savedUnits;

  /**
   * Creates an empty budget.
   *
   * @param share retries per first attempt, for example 0.1
   * @param savedRetries maximum number of retries that can be saved
   */
  public RetryBudget(double share, int savedRetries) {
    this(share, savedRetries, 0);
  }

  /**
   * Creates a budget that allows some retries before the first attempt.
   *
   * @param initialRetries retries that are allowed beyond the share, at most {@code savedRetries}
   */
  public RetryBudget(double share, int savedRetries, int initialRetries) {
    this.savedUnits = Math.min(savedRetries, initialRetries) * UNITS_PER_RETRY;
    this.unitsPerFirstAttempt = (long) Math.floor(share * UNITS_PER_RETRY);
    this.maxSavedUnits = savedRetries * UNITS_PER_RETRY;
  }

  /** Counts a first attempt. */
  public synchronized void recordFirstAttempt() {
    savedUnits = Math.min(maxSavedUnits, savedUnits + unitsPerFirstAttempt);
  }

  /** Takes a retry from the budget; returns false when the budget is exhausted. */
  public synchronized boolean tryAcquireRetry() {
    if (savedUnits < UNITS_PER_RETRY) {
      return false;
    }
    savedUnits -= UNITS_PER_RETRY;
    return true;
  }
}
