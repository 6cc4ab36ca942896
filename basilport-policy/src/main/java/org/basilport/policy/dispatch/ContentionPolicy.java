package org.basilport.policy.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Order of the waiting requests of one service: priority, then usage of the workspace, then return
 * at the stated time, usage of the subject and arrival. A request that returned early is behind all
 * others of its priority.
 *
 * <p>The load it answers: 24 workspaces request three times the capacity at 60 instances, and some
 * of them send more often or do not wait for the time that they were told. All instances see the
 * same free capacity. A request of a workspace that has used more than others therefore waits a
 * moment before it is offered capacity, so that instances with requests of other workspaces can use
 * it first.
 *
 * <p>Confined to the thread that makes the decisions.
 */
public final class ContentionPolicy {
  /** Time after its latest request for which a workspace counts as one that competes. */
  private static final long COMPETING_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Time for which capacity counts as insufficient after a request was refused. Outside of it, no
   * request is held: a short queue serves everybody, and large workspaces use more than the mean at
   * any time.
   */
  private static final long INSUFFICIENT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Interval at which the mean usage of the competing workspaces is computed. */
  private static final long MEAN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Usage above the mean, as a fraction of it, that the order alone evens out. */
  private static final double MEAN_TOLERANCE = 0.02;

  /**
   * Usage above the mean, as a fraction of it, for which a request is held for the longest time.
   */
  private static final double MAX_EXCESS = 0.2;

  /**
   * Longest time for which a request is held. It exceeds the random delay before instances use
   * capacity that became free, and is a small part of the duration of a generation.
   */
  private static final long MAX_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Longest hold as a fraction of the time for which a request can wait. */
  private static final double MAX_HOLD_SHARE = 0.25;

  /**
   * Factor of the expected wait over the time limit from which on it is clear that a request finds
   * no capacity in time.
   */
  private static final double HOPELESS_FACTOR = 2;

  /** Usage of an early attempt, as a fraction of the tokens of the request. */
  private static final double ATTEMPT_SHARE = 0.02;

  /**
   * Largest usage by attempts at this instance, as a fraction of the mean usage at this instance,
   * so that nobody is starved.
   */
  private static final double MAX_ATTEMPT_SHARE = 0.05;

  private final FleetUsage usage;
  private final FleetUsage subjects;
  private final FleetUsage attempts;
  private final Map<Long, Long> competing = new HashMap<>();
  private double meanTokens;
  private double meanOwnTokens;
  private long nextMeanNanos;
  private OptionalLong refusalNanos = OptionalLong.empty();

  /** Creates a policy that orders by the given usage. */
  public ContentionPolicy(FleetUsage usage, long nowNanos) {
    this.usage = usage;
    this.subjects = new FleetUsage(nowNanos);
    this.attempts = new FleetUsage(nowNanos);
    this.nextMeanNanos = nowNanos;
  }

  /** Records that a request competes for capacity. */
  public void recordArrival(ContendingRequest request, ReturnOrder.Arrival arrival, long nowNanos) {
    competing.put(request.workspace(), nowNanos);
    if (arrival == ReturnOrder.Arrival.EARLY) {
      double room =
          MAX_ATTEMPT_SHARE * ownMean(nowNanos) - attempts.tokens(request.workspace(), nowNanos);
      double charge = Math.max(0, Math.min(room, ATTEMPT_SHARE * request.tokens()));
      attempts.charge(request.workspace(), charge, nowNanos);
      usage.charge(request.workspace(), charge, nowNanos);
    }
  }

  /** Charges a request that was placed. */
  public void recordPlaced(ContendingRequest request, long nowNanos) {
    charge(request, request.tokens(), nowNanos);
  }

  /** Replaces the expected tokens of a request that has ended by those that it used. */
  public void recordEnded(ContendingRequest request, long tokens, long nowNanos) {
    charge(request, tokens - request.tokens(), nowNanos);
  }

  private void charge(ContendingRequest request, long tokens, long nowNanos) {
    usage.charge(request.workspace(), tokens, nowNanos);
    subjects.charge(subjectKey(request), tokens, nowNanos);
  }

  /** Records that a request was refused or found no capacity until its time limit. */
  public void recordRefusal(long nowNanos) {
    refusalNanos = OptionalLong.of(nowNanos);
  }

  /** Usage of the subject of a request, in tokens. */
  double subjectTokens(ContendingRequest request, long nowNanos) {
    return subjects.tokens(subjectKey(request), nowNanos);
  }

  private static long subjectKey(ContendingRequest request) {
    return 31 * request.workspace() + request.subject();
  }

  /** Usage of a workspace in a unit that is comparable within one decision. */
  double level(long workspace) {
    return usage.level(workspace);
  }

  /**
   * Time for which a request is held after it arrived or found no capacity, in nanoseconds.
   *
   * @param maxWaitNanos time for which the request can wait
   */
  public long holdNanos(
      ContendingRequest request, boolean early, long maxWaitNanos, long nowNanos) {
    if (refusalNanos.isEmpty() || nowNanos - refusalNanos.getAsLong() > INSUFFICIENT_NANOS) {
      return 0;
    }
    double maxHold = Math.min(MAX_HOLD_NANOS, MAX_HOLD_SHARE * maxWaitNanos);
    if (early) {
      return Math.round(maxHold);
    }
    double mean = mean(nowNanos);
    if (mean <= 0) {
      return 0;
    }
    double excess = usage.tokens(request.workspace(), nowNanos) / mean - 1 - MEAN_TOLERANCE;
    return Math.round(maxHold * Math.max(0, Math.min(1, excess / MAX_EXCESS)));
  }

  /** Whether it is clear that a request finds no capacity in time; unknown rates are not. */
  public static boolean isHopeless(int ahead, OptionalDouble placedPerSecond, long maxWaitNanos) {
    if (placedPerSecond.isEmpty()) {
      return false;
    }
    double expected = (ahead + 1) / placedPerSecond.getAsDouble() * TimeUnit.SECONDS.toNanos(1);
    return expected > HOPELESS_FACTOR * maxWaitNanos;
  }

  /** Mean usage of the competing workspaces at all instances, in tokens. */
  private double mean(long nowNanos) {
    computeMeans(nowNanos);
    return meanTokens;
  }

  /** Mean usage of the competing workspaces at this instance, in tokens. */
  private double ownMean(long nowNanos) {
    computeMeans(nowNanos);
    return meanOwnTokens;
  }

  private void computeMeans(long nowNanos) {
    if (nextMeanNanos - nowNanos > 0) {
      return;
    }
    nextMeanNanos = nowNanos + MEAN_INTERVAL_NANOS;
    double sum = 0;
    double ownSum = 0;
    for (Iterator<Map.Entry<Long, Long>> all = competing.entrySet().iterator(); all.hasNext(); ) {
      Map.Entry<Long, Long> entry = all.next();
      if (nowNanos - entry.getValue() > COMPETING_NANOS) {
        all.remove();
      } else {
        sum += usage.tokens(entry.getKey(), nowNanos);
        ownSum += usage.ownTokens(entry.getKey(), nowNanos);
      }
    }
    meanTokens = sum / Math.max(1, competing.size());
    meanOwnTokens = ownSum / Math.max(1, competing.size());
  }

  /** Order of requests of one workspace: those that return in time, the subject, the arrival. */
  static final Comparator<ContendedQueue.Entry<?>> WITHIN_WORKSPACE =
      Comparator.<ContendedQueue.Entry<?>, Boolean>comparing(entry -> !entry.returned())
          .thenComparingDouble(ContendedQueue.Entry::subjectTokens)
          .thenComparingLong(ContendedQueue.Entry::sequence);
}
