package org.basilport.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Sends an open-loop load through a daemon and, in the same run, directly to the engines.
 *
 * <p>Requests are sent at planned times whether or not earlier ones were answered, and latency is
 * measured from the planned time, so a stalled daemon or load generator appears as latency instead
 * of fewer requests (coordinated omission).
 */
public final class LoadBenchmark {
  private static final Duration END_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration OPEN_TIMEOUT = Duration.ofSeconds(60);
  private static final double STREAMS_OPENED_PER_SECOND = 1_000;
  private static final int HEAP_STEPS = 4;
  private static final long POLL_INTERVAL_MILLIS = 50;

  private final LoadSettings settings;
  private final Consumer<String> out;
  private final StreamStatistics directStatistics = new StreamStatistics();
  private final StreamStatistics daemonStatistics = new StreamStatistics();

  /**
   * Creates a run.
   *
   * @param out receives progress messages, one line each
   */
  public LoadBenchmark(LoadSettings settings, Consumer<String> out) {
    this.settings = settings;
    this.out = out;
  }

  /**
   * Runs once.
   *
   * @param secondJvm whether the user starts the daemon in another JVM
   */
  public LoadReport run(boolean secondJvm) throws Exception {
    try (LoadSite site = new LoadSite(settings);
        StreamClient client = new StreamClient()) {
      site.startStandIns();
      try (DaemonProbe probe = start(site, client, secondJvm)) {
        return settings.openStreams() > 0
            ? holdStreams(site, client, probe)
            : measureLatency(site, client, probe);
      }
    }
  }

  private DaemonProbe start(LoadSite site, StreamClient client, boolean secondJvm)
      throws Exception {
    if (secondJvm) {
      out.accept("start the daemon within 90 s with this command:");
      out.accept("  ./basilport " + site.routerArguments());
      site.awaitServing();
      return new ProcessProbe(site.daemonPid());
    }
    // The first requests start the threads of client and stand-ins, so the probe excludes them.
    send(
        List.of(directTarget(site)),
        List.of(new StreamStatistics()),
        client,
        Duration.ofSeconds(1));
    ThreadProbe probe = new ThreadProbe();
    site.startDaemonInProcess();
    site.awaitServing();
    return probe;
  }

  private static StreamTarget directTarget(LoadSite site) {
    return StreamTarget.direct(site.engineAddresses());
  }

  private LoadReport measureLatency(LoadSite site, StreamClient client, DaemonProbe probe)
      throws InterruptedException, TimeoutException {
    List<StreamTarget> targets =
        List.of(directTarget(site), StreamTarget.daemon(site.daemonAddress()));
    List<StreamStatistics> statistics = List.of(directStatistics, daemonStatistics);
    out.accept("warm-up of " + settings.warmUp().toSeconds() + " s");
    send(targets, statistics, client, settings.warmUp());
    out.accept("measured window of " + settings.window().toSeconds() + " s");
    long begin = System.nanoTime();
    long tokens = daemonStatistics.tokenCount();
    long cpu = probe.cpuNanos();
    statistics.forEach(path -> path.setMeasuring(true));
    send(targets, statistics, client, settings.window());
    double seconds = (System.nanoTime() - begin) / 1e9;
    tokens = daemonStatistics.tokenCount() - tokens;
    cpu = probe.cpuNanos() - cpu;
    await(END_TIMEOUT, "streams did not end", directStatistics::allEnded);
    await(END_TIMEOUT, "streams did not end", daemonStatistics::allEnded);
    return new LoadReport(
        directStatistics.result(),
        daemonStatistics.result(),
        seconds,
        tokens,
        cpu,
        List.of(),
        LoadReport.systemLoadAverage());
  }

  /** Sends to all targets round robin at planned times, at the configured rate for each target. */
  private void send(
      List<StreamTarget> targets,
      List<StreamStatistics> statistics,
      StreamClient client,
      Duration time)
      throws InterruptedException {
    long interval = (long) (TimeUnit.SECONDS.toNanos(1) / settings.requestsPerSecond());
    long begin = System.nanoTime();
    long count = Math.max(1, time.toNanos() / interval) * targets.size();
    for (long i = 0; i < count; i++) {
      long planned = begin + i * interval / targets.size();
      sleepUntil(planned);
      int path = (int) (i % targets.size());
      client.open(targets.get(path), begin + i, settings.tokens(), planned, statistics.get(path));
    }
  }

  private LoadReport holdStreams(LoadSite site, StreamClient client, DaemonProbe probe)
      throws InterruptedException, TimeoutException {
    StreamTarget target = StreamTarget.daemon(site.daemonAddress());
    List<LoadReport.HeapStep> steps = new ArrayList<>();
    steps.add(new LoadReport.HeapStep(0, probe.heapBytes()));
    long interval = (long) (TimeUnit.SECONDS.toNanos(1) / STREAMS_OPENED_PER_SECOND);
    long opened = 0;
    for (int step = 1; step <= HEAP_STEPS; step++) {
      long wanted = (long) settings.openStreams() * step / HEAP_STEPS;
      long begin = System.nanoTime();
      for (long i = 0; opened < wanted; i++) {
        long planned = begin + i * interval;
        sleepUntil(planned);
        client.open(target, opened++, settings.tokens(), planned, daemonStatistics);
      }
      await(
          OPEN_TIMEOUT, "streams did not open", () -> daemonStatistics.receivingCount() >= wanted);
      steps.add(new LoadReport.HeapStep(wanted, probe.heapBytes()));
      out.accept(wanted + " streams are open, " + daemonStatistics.failedCount() + " failed");
    }
    return new LoadReport(
        directStatistics.result(),
        daemonStatistics.result(),
        0,
        daemonStatistics.tokenCount(),
        0,
        steps,
        LoadReport.systemLoadAverage());
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      if (Thread.interrupted()) {
        throw new InterruptedException();
      }
      left = nanos - System.nanoTime();
    }
  }

  private void await(Duration limit, String problem, BooleanSupplier condition)
      throws InterruptedException, TimeoutException {
    long deadline = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline > 0) {
        throw new TimeoutException(
            String.format(
                "%s within %d s: %d started, %d reading, %d completed, %d failed",
                problem,
                limit.toSeconds(),
                daemonStatistics.startedCount(),
                daemonStatistics.receivingCount(),
                daemonStatistics.completedCount(),
                daemonStatistics.failedCount()));
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }
}
