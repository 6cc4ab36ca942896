package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Ages that stand for times in the reports of instances, whose monotonic clocks are not comparable.
 *
 * <p>An instance reports what others told it, so a time comes back to where it was observed. The
 * error of each report must have a known direction, or the time would move with every report.
 */
public final class ReportedAge {
  /** Time that a report usually takes from its writing to its reading. */
  private static final long TRANSIT_MILLIS = 20;

  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private ReportedAge() {}

  /** Age in milliseconds that the receiver turns into a time that is not later. */
  public static long notLater(long atNanos, long nowNanos) {
    return Math.floorDiv(nowNanos - atNanos + MILLI_NANOS - 1, MILLI_NANOS) + TRANSIT_MILLIS;
  }

  /** Age in milliseconds that the receiver turns into a time that is not earlier. */
  public static long notEarlier(long atNanos, long nowNanos) {
    return Math.floorDiv(nowNanos - atNanos, MILLI_NANOS);
  }

  /** The monotonic time of the receiver that an age stands for. */
  public static long toNanos(long ageMillis, long nowNanos) {
    return nowNanos - ageMillis * MILLI_NANOS;
  }
}
