package org.basilport.misc;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executor;

/** Serial executor with a clock; tasks run one at a time, in order of their due time. */
public interface Scheduler extends Executor {

  /** Monotonic time in nanoseconds; only differences are meaningful. */
  long nanoTime();

  /** Wall clock time; it may jump. */
  Instant now();

  /** Runs a task once after a delay. */
  Cancellable schedule(Duration delay, Runnable task);

  /**
   * Runs a task repeatedly with a fixed delay between the end of one run and the start of the next.
   */
  default Cancellable scheduleRepeating(Duration delay, Runnable task) {
    RepeatingTask repeating = new RepeatingTask(this, delay, task);
    repeating.scheduleNext();
    return repeating;
  }
}
