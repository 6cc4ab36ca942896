package org.basilport.standin.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import org.basilport.engine.EngineReport;

/** Delays load reports by a fixed lag, using snapshots; guarded by the engine's lock. */
final class DelayedReports {
  private static final long SNAPSHOT_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

  private final long lagNanos;
  private final Supplier<EngineReport> reportSupplier;
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();

  DelayedReports(Duration lag, Supplier<EngineReport> reportSupplier) {
    this.lagNanos = lag.toNanos();
    this.reportSupplier = reportSupplier;
  }

  /** Takes a snapshot if it is forced or the snapshot interval has passed. */
  void record(long nowNanos, boolean forced) {
    if (lagNanos == 0) {
      return;
    }
    Snapshot last = snapshots.peekLast();
    if (forced || last == null || nowNanos - last.nanos >= SNAPSHOT_INTERVAL_NANOS) {
      snapshots.add(new Snapshot(nowNanos, reportSupplier.get()));
      evictExpired(nowNanos);
    }
  }

  EngineReport report(long nowNanos) {
    if (lagNanos == 0 || snapshots.isEmpty()) {
      return reportSupplier.get();
    }
    evictExpired(nowNanos);
    return snapshots.peekFirst().report;
  }

  void clear() {
    snapshots.clear();
  }

  /** Removes snapshots older than the newest one that is at least as old as the lag. */
  private void evictExpired(long nowNanos) {
    Snapshot oldest = snapshots.pollFirst();
    while (!snapshots.isEmpty() && nowNanos - snapshots.peekFirst().nanos >= lagNanos) {
      oldest = snapshots.pollFirst();
    }
    snapshots.addFirst(oldest);
  }

  private record Snapshot(long nanos, EngineReport report) {}
}
