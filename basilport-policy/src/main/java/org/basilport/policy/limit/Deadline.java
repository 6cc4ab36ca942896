package org.basilport.policy.limit;

/**
 * Time by which a request must be answered; it is passed on as the time that remains.
 *
 * @param atNanos monotonic time of this process, in nanoseconds
 */
public record Deadline(long atNanos) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the deadline of a request that came with a remaining time, in milliseconds. */
  public static Deadline after(long remainingMillis, long nowNanos) {
    return new Deadline(nowNanos + remainingMillis * NANOS_PER_MILLI);
  }

  /** Returns the remaining time, in milliseconds; 0 when it has passed. */
  public long remainingMillis(long nowNanos) {
    return Math.max(0, (atNanos - nowNanos) / NANOS_PER_MILLI);
  }

  /** Returns whether a retry after a delay would still be in time, given the time it needs. */
  public boolean allows(long delayMillis, long neededMillis, long nowNanos) {
    return remainingMillis(nowNanos) >= delayMillis + neededMillis;
  }
}
