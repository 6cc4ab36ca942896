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

/** Measures one fleet during its start, a phase without changes and a configuration change. */
public final class CapacityMeasurement {
  private static final Duration START_DURATION = Duration.ofSeconds(10);
  private static final Duration MEMBERSHIP_LIMIT = Duration.ofSeconds(60);
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(20);

  private final CapacityPoint point;
  private final Duration quietPhase;
  private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
  private final long heapBytesBefore;
  private final CapacityFleet fleet;

  /**
   * Creates a fleet without starting it.
   *
   * @param quietPhase virtual duration of the phase in which rates are measured
   */
  public CapacityMeasurement(CapacityPoint point, long seed, Duration quietPhase) {
    this.point = point;
    this.quietPhase = quietPhase;
    this.heapBytesBefore = usedHeapBytes();
    this.fleet = new CapacityFleet(point, seed);
  }

  /** Runs all phases and returns the measurements. */
  public CapacityResult run() {
    fleet.start(START_DURATION);
    fleet.apply(1);
    double membersKnownSeconds =
        fleet.runUntil(() -> fleet.fewestMembers() == point.instances(), MEMBERSHIP_LIMIT);
    double serversKnownSeconds =
        fleet.runUntil(() -> fleet.fewestServers() == point.servers(), MEMBERSHIP_LIMIT);
    fleet.runUntil(() -> fleet.inForceEverywhere(1), IN_FORCE_LIMIT);
    Counters before = readCounters();
    fleet.scheduler.runFor(quietPhase);
    Counters after = readCounters();
    double heapBytes = (double) (usedHeapBytes() - heapBytesBefore) / point.instances();
    long suspectedPairs = fleet.countPairs(MemberHealth.SUSPECTED);
    long deadPairs = fleet.countPairs(MemberHealth.DEAD);
    fleet.apply(2);
    double inForceSeconds = fleet.runUntil(() -> fleet.inForceEverywhere(2), IN_FORCE_LIMIT);
    fleet.scheduler.runFor(Duration.ofSeconds(1));
    double changeBytes = 2.0 * (fleet.network.configurationBytes() - after.configurationBytes);
    return new CapacityResult(
        point,
        instanceRate(after.bytes - before.bytes),
        instanceRate(after.bytes - before.bytes),
        2 * instanceRate(after.messages - before.messages),
        changeBytes / point.instances(),
        instanceRate(after.cpuNanos - before.cpuNanos) / 1e7,
        heapBytes,
        fleetRate(after.reads - before.reads),
        fleetRate(after.writes - before.writes),
        fleetRate(after.watches - before.watches),
        fleetRate(after.lists - before.lists),
        instanceRate(after.polls - before.polls),
        instanceRate(after.polls - before.polls) * reportBytes(),
        fleetRate(after.polls - before.polls) / Math.max(1, point.servers()),
        membersKnownSeconds,
        fleet.fewestMembers(),
        serversKnownSeconds,
        fleet.fewestServers(),
        inForceSeconds,
        suspectedPairs,
        deadPairs,
        objectBytes("config/head"),
        totalPartBytes());
  }

  private double instanceRate(long count) {
    return fleetRate(count) / point.instances();
  }

  private double fleetRate(long count) {
    return count * 1e9 / quietPhase.toNanos();
  }

  private int reportBytes() {
    return fleet.engines.values().stream().findFirst().map(ReportingEngine::reportBytes).orElse(0);
  }

  private long objectBytes(String name) {
    return awaitRead(fleet.platform.read(name)).map(object -> object.value().length).orElse(0);
  }

  private long totalPartBytes() {
    CompletableFuture<List<String>> names = fleet.platform.list("config/part/");
    fleet.scheduler.runFor(Duration.ofSeconds(1));
    // The parts of both configurations are stored; both have the same size.
    return names.join().stream().mapToLong(this::objectBytes).sum();
  }

  private Optional<StoredObject> awaitRead(CompletableFuture<Optional<StoredObject>> read) {
    fleet.scheduler.runFor(Duration.ofSeconds(1));
    return read.join();
  }

  private Counters readCounters() {
    return new Counters(
        fleet.network.gossipBytes(),
        fleet.network.gossipMessages(),
        fleet.network.configurationBytes(),
        fleet.platform.counts().total(CallKind.READ) + fleet.platform.counts().total(CallKind.LIST),
        fleet.platform.counts().total(CallKind.WRITE),
        fleet.platform.counts().total(CallKind.WATCH),
        fleet.platform.counts().total(CallKind.INSTANCES),
        fleet.reportCount(),
        threadBean.getCurrentThreadCpuTime());
  }

  private static long usedHeapBytes() {
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
