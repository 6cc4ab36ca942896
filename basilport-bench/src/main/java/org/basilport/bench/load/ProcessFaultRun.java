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
 * Keeps traffic and configuration changes going against real daemon processes while it kills,
 * pauses, drains and restarts them, and compares at the end what callers were told with what ran.
 */
public final class ProcessFaultRun {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration OPERATOR_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration FINISH_LIMIT = Duration.ofSeconds(60);
  private static final int FIRST_APPLY_ATTEMPTS = 50;

  private final ProcessFaultSettings settings;
  private final Consumer<String> out;
  private final ProcessFaultReport report = new ProcessFaultReport();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  /**
   * Creates a run.
   *
   * @param out takes the lines that tell what the run does
   */
  public ProcessFaultRun(ProcessFaultSettings settings, Consumer<String> out) {
    this.settings = settings;
    this.out = out;
  }

  /** Runs once; ends all processes that it started, also on failure. */
  public ProcessFaultReport run() throws Exception {
    File log = File.createTempFile("basilport-processes", ".log");
    out.accept("log of the processes: " + log);
    HttpClient http = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    SplittableRandom random = new SplittableRandom(settings.seed());
    try (ProcessFleet fleet = new ProcessFleet(http, settings.daemons(), settings.seed(), log)) {
      Thread onEnd = new Thread(fleet::close, "end-children");
      Runtime.getRuntime().addShutdownHook(onEnd);
      try {
        drive(fleet, http, random);
      } finally {
        running = false;
        threads.forEach(Thread::interrupt);
      }
      Runtime.getRuntime().removeShutdownHook(onEnd);
    }
    return report;
  }

  private void drive(ProcessFleet fleet, HttpClient http, SplittableRandom random)
      throws IOException, InterruptedException {
    OperatorCalls operator = new OperatorCalls(http, OPERATOR_TIMEOUT);
    FaultSchedule faults = new FaultSchedule(fleet, operator, random.split(), report, out);
    ConfigurationLoop configurations = new ConfigurationLoop(fleet, operator, report);
    applyFirst(fleet, configurations);
    for (DaemonProcess daemon : fleet.daemons()) {
      faults.awaitReady(daemon);
      daemon.disturbed(false);
    }
    out.accept("all daemons serve; faults begin");
    CallLoop calls = new CallLoop(fleet, http, report);
    StreamLoop streams = new StreamLoop(fleet, http, report);
    long deadline = System.nanoTime() + settings.duration().toNanos();
    for (int i = 0; i < settings.streamCallers(); i++) {
      start("streams-" + i, random.split(), own -> streams.run(own, () -> running));
    }
    for (int i = 0; i < settings.callCallers(); i++) {
      start("calls-" + i, random.split(), own -> calls.run(own, () -> running));
    }
    start("configurations", random.split(), own -> configurations.run(own, () -> running));
    faults.runUntil(deadline);
    finish();
    calls.check(fleet.executions());
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
    report.violation("the first configuration was not accepted");
  }

  private void start(String name, SplittableRandom random, Loop loop) {
    Thread thread =
        new Thread(
            () -> {
              try {
                loop.run(random);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } catch (RuntimeException e) {
                report.violation(name + " failed: " + e);
              }
            },
            name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private void finish() throws InterruptedException {
    running = false;
    long deadline = System.nanoTime() + FINISH_LIMIT.toNanos();
    for (Thread thread : threads) {
      long millis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      thread.join(Math.max(1, millis));
      if (thread.isAlive()) {
        report.violation(
            thread.getName() + " did not end within " + FINISH_LIMIT.toSeconds() + " s");
      }
    }
  }

  /** A caller's loop. */
  private interface Loop {
    void run(SplittableRandom random) throws InterruptedException;
  }
}
