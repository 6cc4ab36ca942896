package org.basilport.store;

import java.util.ArrayDeque;
import org.basilport.event.EventSink;
import org.basilport.event.Invariant;

/**
 * Token bucket for calls; an independent count of the calls of the last second asserts the limit.
 * Not safe for concurrent use.
 */
final class CallRateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 0.5;

  private final String name;
  private final EventSink events;
  private final ArrayDeque<Long> recentCallNanos = new ArrayDeque<>();
  private double callsPerSecond;
  private double maxCallsPerSecond;
  private double tokens;
  private long refilledAtNanos;
  private long maxRateSetAtNanos;

  CallRateLimiter(String name, double callsPerSecond, long now, EventSink events) {
    this.name = name;
    this.events = events;
    this.callsPerSecond = callsPerSecond;
    this.maxCallsPerSecond = callsPerSecond;
    this.tokens = burst(callsPerSecond);
    this.refilledAtNanos = now;
    this.maxRateSetAtNanos = now;
  }

  /** Sets the rate, in calls per second. */
  void callsPerSecond(double newCallsPerSecond, long now) {
    refill(now);
    callsPerSecond = newCallsPerSecond;
    if (newCallsPerSecond >= maxCallsPerSecond || now - maxRateSetAtNanos > 2 * NANOS_PER_SECOND) {
      maxCallsPerSecond = newCallsPerSecond;
      maxRateSetAtNanos = now;
    }
    tokens = Math.min(tokens, burst(callsPerSecond));
  }

  /** Takes a token if one is available. */
  boolean tryTake(long now) {
    refill(now);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns the time until the next token, in nanoseconds. */
  long nanosToNext(long now) {
    refill(now);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / callsPerSecond * NANOS_PER_SECOND);
  }

  /** Counts a sent call; fails with an invariant violation if the rate was exceeded. */
  void recordSent(long now) {
    while (!recentCallNanos.isEmpty() && now - recentCallNanos.peekFirst() >= NANOS_PER_SECOND) {
      recentCallNanos.removeFirst();
    }
    recentCallNanos.addLast(now);
    double allowedCalls = maxCallsPerSecond + burst(maxCallsPerSecond) + 1;
    Invariant.check(
        recentCallNanos.size() <= allowedCalls,
        events,
        "platform-call-budget",
        recentCallNanos.size() + " " + name + " in one second, allowed " + allowedCalls);
  }

  private void refill(long now) {
    double refilledTokens = Math.max(0, now - refilledAtNanos) / NANOS_PER_SECOND * callsPerSecond;
    tokens = Math.min(burst(callsPerSecond), tokens + refilledTokens);
    refilledAtNanos = now;
  }

  private static double burst(double callsPerSecond) {
    return Math.max(1, callsPerSecond * BURST_SECONDS);
  }
}
