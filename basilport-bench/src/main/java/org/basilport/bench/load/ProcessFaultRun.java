package org.basilport.bench.load;

import java.io.File;
import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends traffic and configuration changes to real daemon processes while it kills, suspends, drains
 * and restarts them, and finally compares the outcomes that callers received with the executions.
 */
public final class ProcessFaultRun {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration OPERATOR_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration FINISH_TIMEOUT = Duration.ofSeconds(60);
  private static final int FIRST_APPLY_ATTEMPTS = 50;

  private final ProcessFaultSettings settings;
  private final Consumer<String> out;
  private final ProcessFaultReport report = new ProcessFaultReport();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  /**
   * Creates a run.
   *
   * @param out receives progress messages, one line each
   */
  public ProcessFaultRun(ProcessFaultSettings settings, Consumer<String> out) {
    this.settings = settings;
    this.out = out;
  }

  /** Runs once and ends all processes that it started, also on failure. */
  public ProcessFaultReport run() throws Exception {
    File log = File.createTempFile("basilport-processes", ".log");
    out.accept("log file of the processes: " + log);
    HttpClient http = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    SplittableRandom random = new SplittableRandom(settings.seed());
    try (ProcessFleet fleet = new ProcessFleet(http, settings.daemons(), settings.seed(), log)) {
      Thread shutdownHook = new Thread(fleet::close, "end-children");
      Runtime.getRuntime().addShutdownHook(shutdownHook);
      try {
        runWithFaults(fleet, http, random);
      } finally {
        running = false;
        threads.forEach(Thread::interrupt);
      }
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
    return report;
  }

  private void runWithFaults(ProcessFleet fleet, HttpClient http, SplittableRandom random)
      throws IOException, InterruptedException {
    OperatorClient operator = new OperatorClient(http, OPERATOR_TIMEOUT);
    FaultSchedule faults = new FaultSchedule(fleet, operator, random.split(), report, out);
    ConfigurationLoop configurations = new ConfigurationLoop(fleet, operator, report);
    applyFirst(fleet, configurations);
    for (DaemonProcess daemon : fleet.daemons()) {
      faults.awaitReady(daemon);
      daemon.faultActive(false);
    }
    out.accept("all daemons are ready; starting fault injection");
    CallLoop calls = new CallLoop(fleet, http, report);
    StreamLoop streams = new StreamLoop(fleet, http, report);
    long deadline = System.nanoTime() + settings.duration().toNanos();
    for (int i = 0; i < settings.streamCallers(); i++) {
      start(
          "streams-" + i, random.split(), callerRandom -> streams.run(callerRandom, () -> running));
    }
    for (int i = 0; i < settings.callCallers(); i++) {
      start("calls-" + i, random.split(), callerRandom -> calls.run(callerRandom, () -> running));
    }
    start(
        "configurations",
        random.split(),
        callerRandom -> configurations.run(callerRandom, () -> running));
    faults.runUntil(deadline);
    finish();
    calls.checkExecutions(fleet.executions());
  }

  private void applyFirst(ProcessFleet fleet, ConfigurationLoop configurations)
      throws InterruptedException {
    // The instances start while this is tried, so the first attempts are refused.
    String address = fleet.daemons().get(0).address();
    for (int i = 0; i < FIRST_APPLY_ATTEMPTS; i++) {
      if (configurations.apply(address)) {
        return;
      }
      Thread.sleep(500);
    }
    report.addViolation("the first configuration was not accepted");
  }

  private void start(String name, SplittableRandom random, CallerLoop loop) {
    Thread thread =
        new Thread(
            () -> {
              try {
                loop.run(random);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } catch (RuntimeException e) {
                report.addViolation(name + " failed: " + e);
              }
            },
            name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private void finish() throws InterruptedException {
    running = false;
    long deadline = System.nanoTime() + FINISH_TIMEOUT.toNanos();
    for (Thread thread : threads) {
      long millis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      thread.join(Math.max(1, millis));
      if (thread.isAlive()) {
        report.addViolation(
            thread.getName() + " did not end within " + FINISH_TIMEOUT.toSeconds() + " s");
      }
    }
  }

  private interface CallerLoop {
    void run(SplittableRandom random) throws InterruptedException;
  }
}
