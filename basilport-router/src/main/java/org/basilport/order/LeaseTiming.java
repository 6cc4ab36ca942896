package org.basilport.order;

import java.time.Duration;

/**
 * Times of a duty lease.
 *
 * @param duration how long the object must stay unchanged before another instance takes the lease
 * @param margin how much earlier the holder stops; covers clocks that run at different rates
 * @param renewal time between renewals
 * @param round time between rounds of an instance that does not hold the lease
 */
public record LeaseTiming(Duration duration, Duration margin, Duration renewal, Duration round) {

  /** One write every 3 s for each service; a lapsed lease is taken after 10 to 12 s. */
  public static LeaseTiming defaults() {
    return new LeaseTiming(
        Duration.ofSeconds(10),
        Duration.ofSeconds(2),
        Duration.ofSeconds(3),
        Duration.ofSeconds(1));
  }
}
