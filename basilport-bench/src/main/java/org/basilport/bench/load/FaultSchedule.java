package org.basilport.bench.load;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Kills, suspends and drains random daemons one after another and restarts them. At most one daemon
 * has a fault at a time, unless the previous one did not become ready in time.
 */
final class FaultSchedule {
  private static final long MAX_GAP_MILLIS = 3_000;
  private static final long MAX_PAUSE_MILLIS = 5_000;
  private static final long MAX_DOWNTIME_MILLIS = 2_000;
  private static final long DRAIN_TIMEOUT_SECONDS = 40;
  private static final long START_TIMEOUT_MILLIS = 60_000;
  private static final long POLL_INTERVAL_MILLIS = 200;

  private final ProcessFleet fleet;
  private final OperatorClient operator;
  private final SplittableRandom random;
  private final ProcessFaultReport report;
  private final Consumer<String> out;

  FaultSchedule(
      ProcessFleet fleet,
      OperatorClient operator,
      SplittableRandom random,
      ProcessFaultReport report,
      Consumer<String> out) {
    this.fleet = fleet;
    this.operator = operator;
    this.random = random;
    this.report = report;
    this.out = out;
  }

  /** Injects faults until the deadline; afterwards every daemon has been started again. */
  void runUntil(long deadlineNanos) throws IOException, InterruptedException {
    int fault = 0;
    while (System.nanoTime() - deadlineNanos < 0) {
      Thread.sleep(random.nextLong(500, MAX_GAP_MILLIS));
      List<DaemonProcess> daemons = fleet.daemons();
      DaemonProcess daemon = daemons.get(random.nextInt(daemons.size()));
      // The first three faults cover each kind, so that a short run includes all of them.
      int kind = fault < 3 ? fault : random.nextInt(3);
      fault++;
      daemon.faultActive(true);
      injectFault(daemon, kind);
      daemon.faultActive(false);
    }
  }

  private void injectFault(DaemonProcess daemon, int kind)
      throws IOException, InterruptedException {
    switch (kind) {
      case 0:
        pause(daemon);
        return;
      case 1:
        recordFault("kill", daemon);
        daemon.child().kill();
        restart(daemon);
        return;
      default:
        drain(daemon);
    }
  }

  private void pause(DaemonProcess daemon) throws IOException, InterruptedException {
    recordFault("pause", daemon);
    daemon.child().pause();
    try {
      Thread.sleep(random.nextLong(1_000, MAX_PAUSE_MILLIS));
    } finally {
      daemon.child().resume();
    }
  }

  private void drain(DaemonProcess daemon) throws IOException, InterruptedException {
    recordFault("drain", daemon);
    int exitCode = daemon.child().terminate(DRAIN_TIMEOUT_SECONDS);
    if (exitCode != 0) {
      report.addViolation(
          "G6 " + daemon.id() + " ended its drain with exit code " + exitCode + " instead of 0");
      daemon.child().kill();
    }
    restart(daemon);
  }

  private void restart(DaemonProcess daemon) throws IOException, InterruptedException {
    Thread.sleep(random.nextLong(100, MAX_DOWNTIME_MILLIS));
    fleet.start(daemon);
    awaitReady(daemon);
  }

  /** Waits until a daemon is ready; reports a violation when it does not become ready in time. */
  void awaitReady(DaemonProcess daemon) throws InterruptedException {
    long deadline = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
    while (!operator.ready(daemon.address())) {
      if (System.currentTimeMillis() > deadline) {
        report.addViolation(
            daemon.id()
                + (daemon.child().alive() ? " runs" : " has exited")
                + " but was not ready within "
                + START_TIMEOUT_MILLIS
                + " ms of its start");
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private void recordFault(String fault, DaemonProcess daemon) {
    report.count("faults: " + fault);
    out.accept(fault + " " + daemon.id());
  }
}
