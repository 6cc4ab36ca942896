package org.basilport.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.basilport.config.ConfigurationChange;

/** Applies configurations and checks that each is in force in time and that none reverts. */
final class ConfigurationLoop {
  private static final Duration LIMIT = Duration.ofSeconds(3);
  private static final long INTERVAL_MILLIS = 2_000;
  private static final long POLL_MILLIS = 50;
  private static final int OK = 200;

  private final ProcessFleet fleet;
  private final OperatorCalls operator;
  private final ProcessFaultReport report;
  private final Map<DaemonProcess, Seen> latest = new HashMap<>();
  private int applied;

  ConfigurationLoop(ProcessFleet fleet, OperatorCalls operator, ProcessFaultReport report) {
    this.fleet = fleet;
    this.operator = operator;
    this.report = report;
  }

  /** Applies one configuration after another while wanted. */
  void run(SplittableRandom random, BooleanSupplier wanted) throws InterruptedException {
    while (wanted.getAsBoolean()) {
      apply(fleet.addresses(random).get(0));
      Thread.sleep(INTERVAL_MILLIS);
    }
  }

  /** Applies the next configuration at an instance; returns whether it was accepted. */
  boolean apply(String address) throws InterruptedException {
    applied++;
    ConfigurationChange change =
        new ConfigurationChange(
            UUID.randomUUID().toString(),
            "processes",
            -1,
            LoadDeployment.withWeight(ProcessFleet.engines(), ProcessFleet.replicas(), applied));
    try {
      if (operator.apply(address, change) != OK) {
        report.count("configurations: refused");
        return false;
      }
    } catch (IOException e) {
      report.count("configurations: unknown");
      return false;
    }
    long acceptedAt = System.nanoTime();
    report.count("configurations: accepted");
    operator.numberInForce(address).ifPresent(number -> awaitEverywhere(number, acceptedAt));
    return true;
  }

  private void awaitEverywhere(long number, long acceptedAt) {
    Map<DaemonProcess, Long> waiting = new HashMap<>();
    for (DaemonProcess daemon : fleet.daemons()) {
      if (!daemon.disturbed()) {
        waiting.put(daemon, daemon.changes());
      }
    }
    try {
      while (!waiting.isEmpty() && System.nanoTime() - acceptedAt < LIMIT.toNanos()) {
        waiting.entrySet().removeIf(entry -> changed(entry) || inForce(entry.getKey(), number));
        Thread.sleep(POLL_MILLIS);
      }
      long millis = (System.nanoTime() - acceptedAt) / 1_000_000;
      report.largest("configurations: longest spread, ms", millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    waiting.entrySet().removeIf(ConfigurationLoop::changed);
    waiting
        .keySet()
        .forEach(
            daemon ->
                report.violation(
                    "G7 configuration "
                        + number
                        + " is not in force at "
                        + daemon.id()
                        + " 3 s after its acceptance"));
  }

  /** Whether a fault of the daemon began or ended since the configuration was accepted. */
  private static boolean changed(Map.Entry<DaemonProcess, Long> entry) {
    return entry.getKey().changes() != entry.getValue();
  }

  private boolean inForce(DaemonProcess daemon, long number) {
    try {
      ChildProcess child = daemon.child();
      Optional<Long> found = operator.numberInForce(daemon.address());
      if (found.isEmpty() || child != daemon.child()) {
        return false;
      }
      Seen before = latest.put(daemon, new Seen(child, found.get()));
      if (before != null && before.child == child && before.number > found.get()) {
        report.violation(
            "G7 " + daemon.id() + " went back from " + before.number + " to " + found.get());
      }
      return found.get() >= number;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  /** The number that a process had in force. */
  private record Seen(ChildProcess child, long number) {}
}
