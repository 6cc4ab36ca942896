package org.basilport.store;

import java.util.ArrayDeque;
import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/**
 * A token bucket with an independent count of the calls of the last second, which asserts the
 * limit. Not safe for concurrent use.
 */
final class CallBudget {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 0.5;

  private final String name;
  private final EventSink events;
  private final ArrayDeque<Long> lastSecond = new ArrayDeque<>();
  private double rate;
  private double largestRate;
  private double tokens;
  private long refilledAt;
  private long largestRateAt;

  CallBudget(String name, double rate, long now, EventSink events) {
    this.name = name;
    this.events = events;
    this.rate = rate;
    this.largestRate = rate;
    this.tokens = burst(rate);
    this.refilledAt = now;
    this.largestRateAt = now;
  }

  /** Sets the rate in calls per second. */
  void rate(double newRate, long now) {
    refill(now);
    rate = newRate;
    if (newRate >= largestRate || now - largestRateAt > 2 * NANOS_PER_SECOND) {
      largestRate = newRate;
      largestRateAt = now;
    }
    tokens = Math.min(tokens, burst(rate));
  }

  /** Takes a token if there is one. */
  boolean tryTake(long now) {
    refill(now);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Time until the next token, in nanoseconds. */
  long nanosToNext(long now) {
    refill(now);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / rate * NANOS_PER_SECOND);
  }

  /** Counts a call that is sent; fails when more calls were sent than the rate allows. */
  void sent(long now) {
    while (!lastSecond.isEmpty() && now - lastSecond.peekFirst() >= NANOS_PER_SECOND) {
      lastSecond.removeFirst();
    }
    lastSecond.addLast(now);
    double allowed = largestRate + burst(largestRate) + 1;
    Invariant.check(
        lastSecond.size() <= allowed,
        events,
        "platform-call-budget",
        lastSecond.size() + " " + name + " in one second, allowed " + allowed);
  }

  private void refill(long now) {
    double gained = Math.max(0, now - refilledAt) / NANOS_PER_SECOND * rate;
    tokens = Math.min(burst(rate), tokens + gained);
    refilledAt = now;
  }

  private static double burst(double rate) {
    return Math.max(1, rate * BURST_SECONDS);
  }
}
