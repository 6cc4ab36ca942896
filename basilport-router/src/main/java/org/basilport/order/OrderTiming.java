package org.basilport.order;

import java.time.Duration;

/**
 * Timing of engine orders.
 *
 * @param round interval at which targets and reports are compared
 * @param responseTimeout timeout of an order or a reservation
 * @param targetTimeout time after which an accepted order is repeated if the target is not reported
 * @param startSpread upper bound of the random delay of a new holder, which spreads services'
 *     starts
 */
public record OrderTiming(
    Duration round, Duration responseTimeout, Duration targetTimeout, Duration startSpread) {

  /** An order is repeated after 30 s, which covers a model load and the lag of reports. */
  public static OrderTiming defaults() {
    return new OrderTiming(
        Duration.ofSeconds(1),
        Duration.ofSeconds(5),
        Duration.ofSeconds(30),
        Duration.ofSeconds(2));
  }
}
