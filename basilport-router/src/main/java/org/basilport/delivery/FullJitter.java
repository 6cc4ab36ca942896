package org.basilport.delivery;

import java.time.Duration;
import java.util.SplittableRandom;

/** Delays between tries: uniform between zero and an exponentially growing bound. */
public final class FullJitter {
  private static final int LARGEST_EXPONENT = 20;

  private final Duration base;
  private final Duration largest;
  private final SplittableRandom random;

  /** Creates delays whose bound starts at {@code base} and doubles up to {@code largest}. */
  public FullJitter(Duration base, Duration largest, SplittableRandom random) {
    this.base = base;
    this.largest = largest;
    this.random = random;
  }

  /** Returns the delay before a try, counted from 1. */
  public synchronized Duration delay(int retry) {
    long factor = 1L << Math.min(LARGEST_EXPONENT, retry - 1);
    long bound = Math.min(largest.toNanos(), base.toNanos() * factor);
    return Duration.ofNanos(random.nextLong(bound + 1));
  }
}
