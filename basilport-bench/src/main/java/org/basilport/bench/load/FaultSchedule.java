package org.basilport.bench.load;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Kills, pauses and drains daemons one after another, chosen by a seed, and starts them again. At
 * most one daemon is disturbed at a time, apart from the start-up of the one before.
 */
final class FaultSchedule {
  private static final long LONGEST_GAP_MILLIS = 3_000;
  private static final long LONGEST_PAUSE_MILLIS = 5_000;
  private static final long LONGEST_OUTAGE_MILLIS = 2_000;
  private static final long DRAIN_SECONDS = 40;
  private static final long START_MILLIS = 60_000;
  private static final long POLL_MILLIS = 200;

  private final ProcessFleet fleet;
  private final OperatorCalls operator;
  private final SplittableRandom random;
  private final ProcessFaultReport report;
  private final Consumer<String> out;

  FaultSchedule(
      ProcessFleet fleet,
      OperatorCalls operator,
      SplittableRandom random,
      ProcessFaultReport report,
      Consumer<String> out) {
    this.fleet = fleet;
    this.operator = operator;
    this.random = random;
    this.report = report;
    this.out = out;
  }

  /** Injects faults until a time; every daemon runs afterwards. */
  void runUntil(long deadlineNanos) throws IOException, InterruptedException {
    int fault = 0;
    while (System.nanoTime() - deadlineNanos < 0) {
      Thread.sleep(random.nextLong(500, LONGEST_GAP_MILLIS));
      List<DaemonProcess> daemons = fleet.daemons();
      DaemonProcess daemon = daemons.get(random.nextInt(daemons.size()));
      // The first three faults are one of each kind, so that a short run has all kinds.
      int kind = fault < 3 ? fault : random.nextInt(3);
      fault++;
      daemon.disturbed(true);
      disturb(daemon, kind);
      daemon.disturbed(false);
    }
  }

  private void disturb(DaemonProcess daemon, int kind) throws IOException, InterruptedException {
    switch (kind) {
      case 0:
        pause(daemon);
        return;
      case 1:
        say("kill", daemon);
        daemon.child().kill();
        restart(daemon);
        return;
      default:
        drain(daemon);
    }
  }

  private void pause(DaemonProcess daemon) throws IOException, InterruptedException {
    say("pause", daemon);
    daemon.child().pause();
    try {
      Thread.sleep(random.nextLong(1_000, LONGEST_PAUSE_MILLIS));
    } finally {
      daemon.child().resume();
    }
  }

  private void drain(DaemonProcess daemon) throws IOException, InterruptedException {
    say("drain", daemon);
    int code = daemon.child().terminate(DRAIN_SECONDS);
    if (code != 0) {
      report.violation(
          "G6 " + daemon.id() + " ended its drain with exit code " + code + " instead of 0");
      daemon.child().kill();
    }
    restart(daemon);
  }

  private void restart(DaemonProcess daemon) throws IOException, InterruptedException {
    Thread.sleep(random.nextLong(100, LONGEST_OUTAGE_MILLIS));
    fleet.start(daemon);
    awaitReady(daemon);
  }

  /** Waits until a daemon serves; one that does not serve in time is a violation. */
  void awaitReady(DaemonProcess daemon) throws InterruptedException {
    long deadline = System.currentTimeMillis() + START_MILLIS;
    while (!operator.ready(daemon.address())) {
      if (System.currentTimeMillis() > deadline) {
        report.violation(
            daemon.id()
                + (daemon.child().alive() ? " runs" : " has ended")
                + " and did not serve within "
                + START_MILLIS
                + " ms of its start");
        return;
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  private void say(String fault, DaemonProcess daemon) {
    report.count("faults: " + fault);
    out.accept(fault + " " + daemon.id());
  }
}
