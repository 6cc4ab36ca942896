package org.basilport.order;

import java.time.Duration;

/**
 * Timing of a leader lease.
 *
 * @param duration time without a change after which another instance may acquire the lease
 * @param margin how much earlier the holder stops, to allow for clock drift
 * @param renewal time between renewals
 * @param round interval at which the lease is checked
 */
public record LeaseTiming(Duration duration, Duration margin, Duration renewal, Duration round) {

  /** One write every 3 s for each service; an expired lease is acquired after 10 to 12 s. */
  public static LeaseTiming defaults() {
    return new LeaseTiming(
        Duration.ofSeconds(10),
        Duration.ofSeconds(2),
        Duration.ofSeconds(3),
        Duration.ofSeconds(1));
  }
}
