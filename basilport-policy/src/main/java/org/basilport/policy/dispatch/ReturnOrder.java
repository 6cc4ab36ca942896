package org.basilport.policy.dispatch;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Computes when refused callers return, and recognizes those that return.
 *
 * <p>The load it answers: three times the requests that the servers can run, so that two of three
 * callers are refused and return. Capacity is promised one after the other, at the rate at which it
 * becomes free. A caller is recognized by workspace and subject, because it sends a new id each
 * time.
 *
 * <p>Confined to the thread that makes the decisions.
 */
public final class ReturnOrder {
  /** Shortest delay of a refused caller, as a fraction of the target latency of its route. */
  private static final double MIN_DELAY_RATIO = 0.5;

  /** Time with waiting requests over which the rate of free capacity is observed. */
  private static final long RATE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Shortest time with waiting requests from which on the rate is known. */
  private static final long MIN_OBSERVED_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time without waiting requests after which the rate has to be observed again. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Number of requests placed in the window from which on the rate is known. */
  private static final int MIN_PLACED = 4;

  /** Longest delay of a caller, which would not come back much later. */
  private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Tolerance for callers that round the delay or whose clock differs. */
  private static final long EARLY_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Time after its return time for which a promise is kept. */
  private static final long GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Largest number of promises; beyond it, callers are refused without one. */
  private static final int MAX_PROMISES = 2_000;

  /** Fraction of the delay over which callers are spread. */
  private static final double SPREAD = 0.5;

  private final SplittableRandom random;

  /** Times at which requests were placed, on the clock that runs while requests wait. */
  private final ArrayDeque<Long> placed = new ArrayDeque<>();

  private boolean waiting;
  private long changedNanos;
  private long waitedNanos;
  private long observedFromNanos;
  private final Map<Caller, PriorityQueue<Long>> promises = new HashMap<>();
  private int promiseCount;
  private long nextExpiryNanos;

  /** Creates an order without promises. */
  public ReturnOrder(SplittableRandom random) {
    this.random = random;
  }

  /**
   * Random delay of a refused caller without a promise, in the unit of the target latency: 0.5 to
   * 1.5 times the target latency, so that callers do not return at once nor all together.
   */
  public static double delayWithoutPromise(double targetLatency, SplittableRandom random) {
    return targetLatency * (MIN_DELAY_RATIO + random.nextDouble());
  }

  /** Records whether requests wait now; the rate is observed while they do. */
  public void setWaiting(boolean requestsWait, long nowNanos) {
    if (requestsWait == waiting) {
      return;
    }
    waitedNanos = waitingClock(nowNanos);
    if (requestsWait && nowNanos - changedNanos > MAX_IDLE_NANOS) {
      placed.clear();
      observedFromNanos = waitedNanos;
    }
    waiting = requestsWait;
    changedNanos = nowNanos;
  }

  private long waitingClock(long nowNanos) {
    return waiting ? waitedNanos + nowNanos - changedNanos : waitedNanos;
  }

  /**
   * Records that a request was placed. It counts if requests waited before: otherwise, the rate
   * would be that of the arrivals.
   */
  public void recordPlaced(long nowNanos) {
    if (waiting) {
      placed.addLast(waitingClock(nowNanos));
      rate(nowNanos);
    }
  }

  /** Rate at which capacity becomes free, in requests per second; empty if it is not known. */
  public OptionalDouble rate(long nowNanos) {
    long clock = waitingClock(nowNanos);
    while (!placed.isEmpty() && clock - placed.peekFirst() > RATE_WINDOW_NANOS) {
      placed.removeFirst();
    }
    long observed = Math.min(RATE_WINDOW_NANOS, clock - observedFromNanos);
    return placed.size() < MIN_PLACED || observed < MIN_OBSERVED_NANOS
        ? OptionalDouble.empty()
        : OptionalDouble.of(placed.size() * (double) TimeUnit.SECONDS.toNanos(1) / observed);
  }

  /** Classifies a request that arrives; one that returns in time uses its promise. */
  public Arrival arrive(ContendingRequest request, long nowNanos) {
    expire(nowNanos);
    Caller caller = new Caller(request.workspace(), request.subject());
    PriorityQueue<Long> times = promises.get(caller);
    if (times == null) {
      return Arrival.NEW;
    }
    if (times.peek() - nowNanos > EARLY_TOLERANCE_NANOS) {
      return Arrival.EARLY;
    }
    times.poll();
    promiseCount--;
    if (times.isEmpty()) {
      promises.remove(caller);
    }
    return Arrival.RETURNED;
  }

  /**
   * Returns the delay after which a refused caller returns, in nanoseconds. A caller that returned
   * early receives no second promise; it is referred to the promise that it has.
   *
   * @param waiting number of requests that wait at this instance
   * @param minDelayNanos shortest delay
   */
  public long refuse(
      ContendingRequest request, Arrival arrival, int waiting, long minDelayNanos, long nowNanos) {
    expire(nowNanos);
    Caller caller = new Caller(request.workspace(), request.subject());
    PriorityQueue<Long> times = promises.get(caller);
    if (arrival == Arrival.EARLY && times != null) {
      return spread(Math.max(minDelayNanos, times.peek() - nowNanos));
    }
    OptionalDouble rate = rate(nowNanos);
    long ahead = waiting + promiseCount;
    long expected =
        rate.isPresent()
            ? Math.round((ahead + 1) / rate.getAsDouble() * TimeUnit.SECONDS.toNanos(1))
            : minDelayNanos;
    long delay = spread(Math.max(minDelayNanos, Math.min(MAX_DELAY_NANOS, expected)));
    if (promiseCount < MAX_PROMISES) {
      promises.computeIfAbsent(caller, key -> new PriorityQueue<>()).add(nowNanos + delay);
      promiseCount++;
    }
    return delay;
  }

  private long spread(long delayNanos) {
    return Math.round(delayNanos * (1 + SPREAD * random.nextDouble()));
  }

  /** Removes the promises of callers that did not return, at most once per grace time. */
  private void expire(long nowNanos) {
    if (promises.isEmpty()) {
      nextExpiryNanos = nowNanos + GRACE_NANOS;
    }
    if (nextExpiryNanos - nowNanos > 0) {
      return;
    }
    nextExpiryNanos = nowNanos + GRACE_NANOS;
    for (Iterator<PriorityQueue<Long>> all = promises.values().iterator(); all.hasNext(); ) {
      PriorityQueue<Long> times = all.next();
      while (!times.isEmpty() && nowNanos - times.peek() > GRACE_NANOS) {
        times.poll();
        promiseCount--;
      }
      if (times.isEmpty()) {
        all.remove();
      }
    }
  }

  /** Relation of an arriving request to the promises. */
  public enum Arrival {
    /** Arrives at the time at which its caller was told to return, or later. */
    RETURNED,
    /** No caller of its workspace and subject was told to return. */
    NEW,
    /** Arrives before the time at which its caller was told to return. */
    EARLY
  }

  private record Caller(long workspace, long subject) {}
}
