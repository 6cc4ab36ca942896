package org.basilport.order;

import java.time.Duration;

/**
 * Times and bounds of orders.
 *
 * @param round time between comparisons of targets and reports
 * @param answerLimit longest wait for the answer to an order or to a reservation
 * @param patience how long an engine that accepted an order may take to report its target
 * @param startSpread a new holder starts within this time, so that services do not start together
 */
public record OrderTiming(
    Duration round, Duration answerLimit, Duration patience, Duration startSpread) {

  /** An order is repeated after 30 s, which covers a load and the lag of reports. */
  public static OrderTiming defaults() {
    return new OrderTiming(
        Duration.ofSeconds(1),
        Duration.ofSeconds(5),
        Duration.ofSeconds(30),
        Duration.ofSeconds(2));
  }
}
