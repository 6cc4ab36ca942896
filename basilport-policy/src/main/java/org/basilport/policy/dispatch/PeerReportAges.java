package org.basilport.policy.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Ages of the latest reports of the other instances, which are the ages of the work that they
 * reported. Load: 73 to 300 instances that report each 0.4 s, some of them partitioned.
 */
public final class PeerReportAges {
  /** Delay of a change that is reported at once: a batch of 15 ms and the way between instances. */
  private static final long CHANGE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Time for which a mean is used again; it would cost a pass over all instances per decision. */
  private static final long REUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  private final Map<String, Long> receivedNanos = new HashMap<>();
  private long computedNanos;
  private long heartbeatMean;
  private long changeMean;
  private boolean computed;

  /** Records a report, also if the work in it has not changed. */
  public void record(String instance, long nowNanos) {
    receivedNanos.put(instance, nowNanos);
  }

  /** Mean age of work that is reported with heartbeats; 0 without other instances. */
  public long heartbeatNanos(long nowNanos) {
    compute(nowNanos);
    return heartbeatMean;
  }

  /**
   * Mean age of work whose changes are reported at once. As long as heartbeats of an instance
   * arrive, its work has not changed since its last report.
   */
  public long changeNanos(long nowNanos) {
    compute(nowNanos);
    return changeMean;
  }

  private void compute(long nowNanos) {
    if (computed && nowNanos - computedNanos < REUSE_NANOS) {
      return;
    }
    computed = true;
    computedNanos = nowNanos;
    long heartbeatSum = 0;
    long changeSum = 0;
    receivedNanos
        .values()
        .removeIf(received -> nowNanos - received > PeerLiveness.WORK_RETENTION_NANOS);
    for (long received : receivedNanos.values()) {
      long age = nowNanos - received;
      heartbeatSum += age;
      changeSum += age <= PeerLiveness.REPORT_TIMEOUT_NANOS ? CHANGE_DELAY_NANOS : age;
    }
    int count = Math.max(1, receivedNanos.size());
    heartbeatMean = heartbeatSum / count;
    changeMean = changeSum / count;
  }
}
