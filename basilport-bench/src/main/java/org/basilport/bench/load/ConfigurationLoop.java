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

/** Applies configurations and checks that each comes into force in time and none is rolled back. */
final class ConfigurationLoop {
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(3);
  private static final long INTERVAL_MILLIS = 2_000;
  private static final long POLL_INTERVAL_MILLIS = 50;
  private static final int OK = 200;

  private final ProcessFleet fleet;
  private final OperatorClient operator;
  private final ProcessFaultReport report;
  private final Map<DaemonProcess, Seen> latestNumbers = new HashMap<>();
  private int applied;

  ConfigurationLoop(ProcessFleet fleet, OperatorClient operator, ProcessFaultReport report) {
    this.fleet = fleet;
    this.operator = operator;
    this.report = report;
  }

  /** Applies one configuration after another until the run stops. */
  void run(SplittableRandom random, BooleanSupplier running) throws InterruptedException {
    while (running.getAsBoolean()) {
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
    long acceptedAtNanos = System.nanoTime();
    report.count("configurations: accepted");
    operator.numberInForce(address).ifPresent(number -> awaitInForce(number, acceptedAtNanos));
    return true;
  }

  private void awaitInForce(long number, long acceptedAtNanos) {
    Map<DaemonProcess, Long> pending = new HashMap<>();
    for (DaemonProcess daemon : fleet.daemons()) {
      if (!daemon.faultActive()) {
        pending.put(daemon, daemon.faultTransitions());
      }
    }
    try {
      while (!pending.isEmpty() && System.nanoTime() - acceptedAtNanos < IN_FORCE_LIMIT.toNanos()) {
        pending
            .entrySet()
            .removeIf(entry -> faultSinceAcceptance(entry) || inForce(entry.getKey(), number));
        Thread.sleep(POLL_INTERVAL_MILLIS);
      }
      long millis = (System.nanoTime() - acceptedAtNanos) / 1_000_000;
      report.recordMaximum("configurations: longest spread, ms", millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    pending.entrySet().removeIf(ConfigurationLoop::faultSinceAcceptance);
    pending
        .keySet()
        .forEach(
            daemon ->
                report.addViolation(
                    "G7 configuration "
                        + number
                        + " is not in force at "
                        + daemon.id()
                        + " 3 s after its acceptance"));
  }

  /** Returns whether a fault of the daemon began or ended since the configuration was accepted. */
  private static boolean faultSinceAcceptance(Map.Entry<DaemonProcess, Long> entry) {
    return entry.getKey().faultTransitions() != entry.getValue();
  }

  private boolean inForce(DaemonProcess daemon, long number) {
    try {
      ChildProcess child = daemon.child();
      Optional<Long> current = operator.numberInForce(daemon.address());
      if (current.isEmpty() || child != daemon.child()) {
        return false;
      }
      Seen before = latestNumbers.put(daemon, new Seen(child, current.get()));
      if (before != null && before.child == child && before.number > current.get()) {
        report.addViolation(
            "G7 "
                + daemon.id()
                + " reverted from configuration "
                + before.number
                + " to "
                + current.get());
      }
      return current.get() >= number;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  /** Configuration number that was observed at a process. */
  private record Seen(ChildProcess child, long number) {}
}
