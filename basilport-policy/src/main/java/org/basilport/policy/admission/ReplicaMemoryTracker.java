package org.basilport.policy.admission;

import java.util.ArrayDeque;
import java.util.Arrays;
import org.basilport.policy.ReplicaState;
import org.basilport.policy.routing.ReplicaLoad;

/**
 * Memory of one replica as seen by one instance: the latest report, which is out of date, and the
 * instance's own generations.
 *
 * <p>The memory of other instances is the reported use minus the memory of this instance's
 * generations at the time of the measurement. Own generations that started or ended since then are
 * known exactly.
 */
public final class ReplicaMemoryTracker implements ReplicaLoad {
  /**
   * Number of samples of own memory that are kept; taken every 100 ms, they cover over 12 seconds.
   */
  private static final int HISTORY_SIZE = 128;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Shortest grant period, for the length of which this instance may either use all free memory or
   * only its share. A period lasts for the age of the report at its start, or for this time.
   */
  private static final long MIN_GRANT_PERIOD_NANOS = 100_000_000L;

  /** Index of the future step for which {@link #load} returns the load: 256 steps ahead. */
  private static final int LOAD_HORIZON_INDEX = 4;

  private final String serverId;
  private final MemoryForecast ownForecast = new MemoryForecast();
  private final MemoryForecast unreportedForecast = new MemoryForecast();
  private final ArrayDeque<Change> unreportedChanges = new ArrayDeque<>();
  private final ArrayDeque<Change> changePool = new ArrayDeque<>();
  private final long[] historyNanos = new long[HISTORY_SIZE];
  private final double[] historyTokens = new double[HISTORY_SIZE];
  private int historyNext;
  private ReplicaState latestReport;
  private double peerTokens;
  private double ageSeconds;
  private double ageSteps;
  private int outstanding;
  private boolean fullGrant;
  private long grantPeriodEndNanos = Long.MIN_VALUE;

  /** Creates a tracker from the first report of a replica. */
  public ReplicaMemoryTracker(ReplicaState firstReport) {
    this.serverId = firstReport.serverId();
    this.latestReport = firstReport;
    this.peerTokens = firstReport.usedTokens();
    Arrays.fill(historyNanos, Long.MIN_VALUE);
  }

  /**
   * Updates the state with a report.
   *
   * @param grantDrawn whether this instance may use all free memory in its next grant period
   */
  public void update(ReplicaState report, boolean grantDrawn, long nowNanos) {
    historyNanos[historyNext] = nowNanos;
    historyTokens[historyNext] = ownForecast.mean(0);
    historyNext = (historyNext + 1) % HISTORY_SIZE;
    while (!unreportedChanges.isEmpty()
        && unreportedChanges.peek().atNanos <= report.measuredAtNanos()) {
      Change reported = unreportedChanges.remove();
      unreportedForecast.add(reported.forecast, -reported.factor);
      changePool.push(reported);
    }
    if (unreportedChanges.isEmpty()) {
      unreportedForecast.clear();
    }
    if (nowNanos >= grantPeriodEndNanos) {
      fullGrant = grantDrawn;
      grantPeriodEndNanos =
          nowNanos + Math.max(MIN_GRANT_PERIOD_NANOS, nowNanos - report.measuredAtNanos());
    }
    latestReport = report;
    double waitingTokens =
        (double) report.usedTokens() / Math.max(1, report.running()) * report.waiting();
    peerTokens =
        Math.max(0, report.usedTokens() + waitingTokens - ownTokensAt(report.measuredAtNanos()));
    ageSeconds = (nowNanos - report.measuredAtNanos()) / NANOS_PER_SECOND;
    ageSteps =
        report.medianTokenMillis() <= 0
            ? 0
            : (nowNanos - report.measuredAtNanos()) / NANOS_PER_MILLI / report.medianTokenMillis();
  }

  /** Records the start of an own generation. */
  public void recordStart(MemoryForecast forecast, long nowNanos) {
    ownForecast.add(forecast, 1);
    recordChange(forecast, 1, nowNanos);
    outstanding++;
  }

  /**
   * Adds or removes a forecast; called with -1 before and with 1 after the forecast of a generation
   * changes.
   */
  public void adjustForecast(MemoryForecast forecast, int factor) {
    ownForecast.add(forecast, factor);
  }

  /**
   * Records the end of an own generation.
   *
   * @param reusableShare share of its memory that this instance may use again at once
   */
  public void recordEnd(MemoryForecast forecast, double reusableShare, long nowNanos) {
    ownForecast.add(forecast, -1);
    recordChange(forecast, -reusableShare, nowNanos);
    outstanding--;
    if (outstanding == 0) {
      ownForecast.clear();
    }
  }

  /** Returns the forecast of own generations. */
  public MemoryForecast ownForecast() {
    return ownForecast;
  }

  /**
   * Returns the forecast of own generations that started after the latest report, less those that
   * ended.
   */
  public MemoryForecast unreportedForecast() {
    return unreportedForecast;
  }

  /** Returns the age of the latest report on arrival, in seconds. */
  public double ageSeconds() {
    return ageSeconds;
  }

  /** Returns the age of the latest report on arrival, in decode steps. */
  public double ageSteps() {
    return ageSteps;
  }

  /** Returns whether this instance may use all free memory instead of only its share. */
  public boolean fullGrant() {
    return fullGrant;
  }

  /** Returns the latest report. */
  public ReplicaState latestReport() {
    return latestReport;
  }

  /** Returns the memory of other instances' generations, in tokens. */
  public double peerTokens() {
    return peerTokens;
  }

  /** Returns whether neither the latest report nor this instance has generations on the replica. */
  public boolean idle() {
    return outstanding == 0 && latestReport.running() == 0 && latestReport.waiting() == 0;
  }

  @Override
  public String serverId() {
    return serverId;
  }

  @Override
  public int outstanding() {
    return outstanding;
  }

  @Override
  public boolean sameDataCentre() {
    return latestReport.sameDataCentre();
  }

  @Override
  public double load() {
    return (peerTokens + ownForecast.mean(LOAD_HORIZON_INDEX)) / latestReport.capacityTokens();
  }

  @Override
  public double medianTokenMillis() {
    return latestReport.medianTokenMillis();
  }

  private void recordChange(MemoryForecast forecast, double factor, long nowNanos) {
    Change change = changePool.isEmpty() ? new Change() : changePool.pop();
    change.forecast.clear();
    change.forecast.add(forecast, 1);
    change.factor = factor;
    change.atNanos = nowNanos;
    unreportedChanges.add(change);
    unreportedForecast.add(forecast, factor);
  }

  private double ownTokensAt(long nanos) {
    double tokens = 0;
    long latestNanos = Long.MIN_VALUE;
    for (int i = 0; i < HISTORY_SIZE; i++) {
      if (historyNanos[i] <= nanos && historyNanos[i] > latestNanos) {
        latestNanos = historyNanos[i];
        tokens = historyTokens[i];
      }
    }
    return tokens;
  }

  /** Start or end of an own generation that the latest report does not show yet. */
  private static final class Change {
    private final MemoryForecast forecast = new MemoryForecast();
    private double factor;
    private long atNanos;
  }
}
