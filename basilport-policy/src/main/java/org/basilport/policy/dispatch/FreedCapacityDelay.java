package org.basilport.policy.dispatch;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Spreads the tries of instances that wait for room on a server of another instance's work.
 *
 * <p>Answers a fleet in which several instances wait: all hear of freed room in the same moment,
 * and without a spread all take it. The engine then holds more generations than its memory, and the
 * newest are preempted. The first instance to try reports its work before most others try.
 */
public final class FreedCapacityDelay {
  /**
   * Longest delay. A report reaches the others after about 20 ms, and some instances of the two
   * cells that share an engine wait at the same time.
   */
  private static final long SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final SplittableRandom random;

  /** Creates a source of delays. */
  public FreedCapacityDelay(SplittableRandom random) {
    this.random = random;
  }

  /** Time to wait before freed room is tried, in nanoseconds. */
  public long nextNanos() {
    return random.nextLong(SPREAD_NANOS);
  }
}
