package org.basilport.policy.dispatch;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Random delay before an instance retries placement on capacity that another instance's work has
 * freed.
 *
 * <p>All waiting instances learn of freed capacity at the same moment. Without the delay all would
 * use it at once, the engine would hold more generations than its memory allows, and the newest
 * would be preempted. With the delay, the first instance to place a request reports it before most
 * others try.
 */
public final class FreedCapacityDelay {
  /**
   * Longest delay. A report reaches the others after about 20 ms, and several instances of the two
   * cells that share an engine may be waiting.
   */
  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final SplittableRandom random;

  /** Creates a delay with a seeded random source. */
  public FreedCapacityDelay(SplittableRandom random) {
    this.random = random;
  }

  /** Returns the next delay, in nanoseconds. */
  public long nextNanos() {
    return random.nextLong(MAX_DELAY_NANOS);
  }
}
