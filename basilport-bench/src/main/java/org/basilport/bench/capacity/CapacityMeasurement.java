package org.basilport.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilport.membership.MemberHealth;
import org.basilport.platform.StoredObject;
import org.basilport.standin.platform.CallKind;

/** Runs one fleet through its start, a quiet phase and a change of the configuration. */
public final class CapacityMeasurement {
  private static final Duration START = Duration.ofSeconds(10);
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(20);

  private final CapacityPoint point;
  private final Duration quiet;
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final long heapBefore;
  private final CapacityFleet fleet;

  /**
   * Creates a fleet that is not started.
   *
   * @param quiet length of the phase in which rates are measured
   */
  public CapacityMeasurement(CapacityPoint point, long seed, Duration quiet) {
    this.point = point;
    this.quiet = quiet;
    this.heapBefore = heap();
    this.fleet = new CapacityFleet(point, seed);
  }

  /** Runs the fleet. */
  public CapacityResult run() {
    fleet.start(START);
    fleet.apply(1);
    double members = fleet.runUntil(() -> fleet.fewestMembers() == point.instances(), LIMIT);
    double servers = fleet.runUntil(() -> fleet.fewestServers() == point.servers(), LIMIT);
    fleet.runUntil(() -> fleet.inForceEverywhere(1), IN_FORCE_LIMIT);
    Counters before = counters();
    fleet.scheduler.runFor(quiet);
    Counters after = counters();
    double heap = (double) (heap() - heapBefore) / point.instances();
    long suspected = fleet.pairs(MemberHealth.SUSPECTED);
    long dead = fleet.pairs(MemberHealth.DEAD);
    fleet.apply(2);
    double inForce = fleet.runUntil(() -> fleet.inForceEverywhere(2), IN_FORCE_LIMIT);
    fleet.scheduler.runFor(Duration.ofSeconds(1));
    double changeBytes = 2.0 * (fleet.network.configurationBytes() - after.configurationBytes);
    return new CapacityResult(
        point,
        rate(after.bytes - before.bytes),
        rate(after.bytes - before.bytes),
        2 * rate(after.messages - before.messages),
        changeBytes / point.instances(),
        rate(after.cpuNanos - before.cpuNanos) / 1e7,
        heap,
        fleetRate(after.reads - before.reads),
        fleetRate(after.writes - before.writes),
        fleetRate(after.watches - before.watches),
        fleetRate(after.lists - before.lists),
        rate(after.polls - before.polls),
        rate(after.polls - before.polls) * reportBytes(),
        fleetRate(after.polls - before.polls) / Math.max(1, point.servers()),
        members,
        fleet.fewestMembers(),
        servers,
        fleet.fewestServers(),
        inForce,
        suspected,
        dead,
        size("config/head"),
        partBytes());
  }

  private double rate(long count) {
    return fleetRate(count) / point.instances();
  }

  private double fleetRate(long count) {
    return count * 1e9 / quiet.toNanos();
  }

  private int reportBytes() {
    return fleet.engines.values().stream().findFirst().map(ReportingEngine::reportBytes).orElse(0);
  }

  private long size(String name) {
    return value(fleet.platform.read(name)).map(object -> object.value().length).orElse(0);
  }

  private long partBytes() {
    CompletableFuture<List<String>> names = fleet.platform.list("config/part/");
    fleet.scheduler.runFor(Duration.ofSeconds(1));
    // Both configurations are kept; they have the same size.
    return names.join().stream().mapToLong(this::size).sum();
  }

  private Optional<StoredObject> value(CompletableFuture<Optional<StoredObject>> read) {
    fleet.scheduler.runFor(Duration.ofSeconds(1));
    return read.join();
  }

  private Counters counters() {
    return new Counters(
        fleet.network.gossipBytes(),
        fleet.network.gossipMessages(),
        fleet.network.configurationBytes(),
        fleet.platform.counts().total(CallKind.READ) + fleet.platform.counts().total(CallKind.LIST),
        fleet.platform.counts().total(CallKind.WRITE),
        fleet.platform.counts().total(CallKind.WATCH),
        fleet.platform.counts().total(CallKind.INSTANCES),
        fleet.reports(),
        threads.getCurrentThreadCpuTime());
  }

  private static long heap() {
    Runtime runtime = Runtime.getRuntime();
    System.gc();
    System.gc();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private record Counters(
      long bytes,
      long messages,
      long configurationBytes,
      long reads,
      long writes,
      long watches,
      long lists,
      long polls,
      long cpuNanos) {}
}
