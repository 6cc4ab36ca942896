package org.basilport.delivery;

/** Bounds retries to a share of first tries, so that retries cannot multiply an overload. */
public final class RetryBudget {
  private static final double SHARE = 0.1;
  // A few retries are allowed before there is traffic, and a burst of deaths is covered.
  private static final double LARGEST_BALANCE = 20;

  private double balance = LARGEST_BALANCE;

  /** Counts a first try. */
  public synchronized void firstTry() {
    balance = Math.min(LARGEST_BALANCE, balance + SHARE);
  }

  /** Takes one retry out of the budget; returns false when it is spent. */
  public synchronized boolean tryRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
