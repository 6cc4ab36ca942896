package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Judgement on another instance by the time since its last report.
 *
 * <p>The load it answers: instances that are frozen, cut off or slow to report while their
 * generations continue at the engines. Callers are sent elsewhere soon, but the capacity that the
 * instance uses is given to others only when its work must have ended; until then a second user
 * would make the engines preempt running generations. An instance that has restarted reports at
 * once that it has no work, and does not need the time.
 */
public enum PeerLiveness {
  /** The instance reports; callers may be sent to it. */
  REPORTING,
  /** The instance is silent: callers are not sent to it, and its work still counts. */
  SILENT,
  /** The instance has been silent for so long that its work has ended. */
  GONE;

  /**
   * Time without a report after which an instance of the own cell is silent, in nanoseconds; three
   * heartbeats were missed.
   */
  public static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

  /**
   * Time without a report for which the work of an instance counts, in nanoseconds. An engine
   * notices within some seconds that the reader of a stream is gone.
   */
  public static final long WORK_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

  /**
   * Judges an instance.
   *
   * @param silenceNanos time since its last report
   * @param reportTimeoutNanos time without a report above which it is silent
   */
  public static PeerLiveness of(long silenceNanos, long reportTimeoutNanos) {
    if (silenceNanos <= reportTimeoutNanos) {
      return REPORTING;
    }
    return silenceNanos <= Math.max(WORK_RETENTION_NANOS, reportTimeoutNanos) ? SILENT : GONE;
  }
}
