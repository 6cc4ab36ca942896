package org.basilport.policy.admission;

import java.util.ArrayDeque;
import java.util.Arrays;
import org.basilport.policy.ReplicaState;
import org.basilport.policy.routing.ReplicaLoad;

/**
 * Memory of one replica as this instance knows it: the lagging report and its own work in flight.
 *
 * <p>What other instances hold is the reported use minus what this instance held when the report
 * was measured. Own work that was placed or that ended since then is known exactly.
 */
public final class ReplicaLedger implements ReplicaLoad {
  /** Remembered points of own use; at 100 ms apart they reach back over 12 s. */
  private static final int HISTORY = 128;

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long SHORTEST_TURN_NANOS = 100_000_000L;

  /** Index of the future step at which {@link #load} looks. */
  private static final int LOAD_HORIZON = 4;

  private final String serverId;
  private final MemoryForecast own = new MemoryForecast();
  private final MemoryForecast fresh = new MemoryForecast();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final ArrayDeque<Change> spare = new ArrayDeque<>();
  private final long[] historyNanos = new long[HISTORY];
  private final double[] historyHeld = new double[HISTORY];
  private int historyNext;
  private ReplicaState state;
  private double othersHeld;
  private double ageSeconds;
  private double ageSteps;
  private int outstanding;
  private boolean turn;
  private long turnEndsNanos = Long.MIN_VALUE;

  /** Creates the ledger of a replica from its first report. */
  public ReplicaLedger(ReplicaState state) {
    this.serverId = state.serverId();
    this.state = state;
    this.othersHeld = state.usedTokens();
    Arrays.fill(historyNanos, Long.MIN_VALUE);
  }

  /**
   * Takes a report.
   *
   * @param drawn whether this instance may use all of the free memory in its next turn
   */
  public void report(ReplicaState report, boolean drawn, long nowNanos) {
    historyNanos[historyNext] = nowNanos;
    historyHeld[historyNext] = own.mean(0);
    historyNext = (historyNext + 1) % HISTORY;
    while (!changes.isEmpty() && changes.peek().atNanos <= report.measuredAtNanos()) {
      Change seen = changes.remove();
      fresh.add(seen.forecast, -seen.sign);
      spare.push(seen);
    }
    if (changes.isEmpty()) {
      fresh.clear();
    }
    if (nowNanos >= turnEndsNanos) {
      turn = drawn;
      turnEndsNanos = nowNanos + Math.max(SHORTEST_TURN_NANOS, nowNanos - report.measuredAtNanos());
    }
    state = report;
    double waitingTokens =
        (double) report.usedTokens() / Math.max(1, report.running()) * report.waiting();
    othersHeld =
        Math.max(0, report.usedTokens() + waitingTokens - heldAt(report.measuredAtNanos()));
    ageSeconds = (nowNanos - report.measuredAtNanos()) / NANOS_PER_SECOND;
    ageSteps =
        report.medianTokenMillis() <= 0
            ? 0
            : (nowNanos - report.measuredAtNanos()) / NANOS_PER_MILLI / report.medianTokenMillis();
  }

  /** Adds own work that starts now. */
  public void start(MemoryForecast forecast, long nowNanos) {
    own.add(forecast, 1);
    change(forecast, 1, nowNanos);
    outstanding++;
  }

  /** Adjusts own work; call with -1 before and with 1 after a change of the forecast. */
  public void adjust(MemoryForecast forecast, int sign) {
    own.add(forecast, sign);
  }

  /**
   * Removes own work that ended.
   *
   * @param credit share of its memory that this instance may use again at once
   */
  public void end(MemoryForecast forecast, double credit, long nowNanos) {
    own.add(forecast, -1);
    change(forecast, -credit, nowNanos);
    outstanding--;
    if (outstanding == 0) {
      own.clear();
    }
  }

  /** Returns the forecast of own work. */
  public MemoryForecast own() {
    return own;
  }

  /** Returns the forecast of own work placed after the latest report, less what ended since. */
  public MemoryForecast fresh() {
    return fresh;
  }

  /** Returns the age that the latest report had on arrival, in seconds. */
  public double ageSeconds() {
    return ageSeconds;
  }

  /** Returns the age that the latest report had on arrival, in decode steps. */
  public double ageSteps() {
    return ageSteps;
  }

  /** Returns whether this instance may use all of the free memory, and not only its share. */
  public boolean turn() {
    return turn;
  }

  /** Returns the latest report. */
  public ReplicaState state() {
    return state;
  }

  /** Returns the memory that other instances' work holds, in tokens. */
  public double othersHeld() {
    return othersHeld;
  }

  /** Returns whether neither the report nor this instance knows of work on the replica. */
  public boolean empty() {
    return outstanding == 0 && state.running() == 0 && state.waiting() == 0;
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
  public boolean near() {
    return state.sameDataCentre();
  }

  @Override
  public double load() {
    return (othersHeld + own.mean(LOAD_HORIZON)) / state.capacityTokens();
  }

  @Override
  public double tokenMillis() {
    return state.medianTokenMillis();
  }

  private void change(MemoryForecast forecast, double sign, long nowNanos) {
    Change change = spare.isEmpty() ? new Change() : spare.pop();
    change.forecast.clear();
    change.forecast.add(forecast, 1);
    change.sign = sign;
    change.atNanos = nowNanos;
    changes.add(change);
    fresh.add(forecast, sign);
  }

  private double heldAt(long nanos) {
    double held = 0;
    long best = Long.MIN_VALUE;
    for (int i = 0; i < HISTORY; i++) {
      if (historyNanos[i] <= nanos && historyNanos[i] > best) {
        best = historyNanos[i];
        held = historyHeld[i];
      }
    }
    return held;
  }

  /** A start or an end of own work that the report does not show yet. */
  private static final class Change {
    private final MemoryForecast forecast = new MemoryForecast();
    private double sign;
    private long atNanos;
  }
}
