package org.basilport.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * How often an instance reports to which other instances while nothing changes.
 *
 * <p>The load it answers: 84 instances in cells, each of which would otherwise receive the reports
 * of all others.
 */
public final class HeartbeatSchedule {
  /** Interval of the reports to the own cell, in nanoseconds. */
  public static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /**
   * Heartbeats per report to neighbouring cells, which also receive each change of the work on the
   * engines that they share.
   */
  public static final int NEIGHBOUR_INTERVALS = 3;

  /**
   * Number of instances that receive a report in addition at each heartbeat, one after the other. A
   * fleet of 84 instances is informed within 12 s, which is less than the half-life of the usage.
   * Without it, a workspace that uses one cell receives half of its share.
   */
  public static final int DISTANT_RECEIVERS = 3;

  private HeartbeatSchedule() {}
}
