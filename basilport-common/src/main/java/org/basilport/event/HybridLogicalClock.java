package org.basilport.event;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * A hybrid logical clock after Kulkarni et al., "Logical Physical Clocks" (2014).
 *
 * <p>The upper 48 bits are milliseconds since the epoch and the lower 16 bits a counter, so that an
 * event that was caused by a message gets a larger stamp than the message, even when the wall
 * clocks of the two processes differ.
 */
public final class HybridLogicalClock {
  private static final int COUNTER_BITS = 16;

  private final LongSupplier wallMillis;
  private final AtomicLong last = new AtomicLong();

  /** Creates a clock over a wall clock in milliseconds since the epoch. */
  public HybridLogicalClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a stamp that is larger than all earlier ones. */
  public long tick() {
    long physical = wallMillis.getAsLong() << COUNTER_BITS;
    return last.updateAndGet(previous -> Math.max(previous + 1, physical));
  }

  /** Advances the clock past a stamp that was received from another process. */
  public void observe(long remote) {
    last.accumulateAndGet(remote, Math::max);
  }

  /** Milliseconds since the epoch of a stamp. */
  public static long millis(long stamp) {
    return stamp >>> COUNTER_BITS;
  }
}
