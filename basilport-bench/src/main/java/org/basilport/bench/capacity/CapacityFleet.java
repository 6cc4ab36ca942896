package org.basilport.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ConfigurationChange;
import org.basilport.event.HybridLogicalClock;
import org.basilport.event.Timeline;
import org.basilport.membership.Member;
import org.basilport.membership.MemberHealth;
import org.basilport.misc.VirtualScheduler;
import org.basilport.peer.InProcessPeerNetwork;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.quarantine.IsolationHandler;
import org.basilport.router.DefaultControlPlane;
import org.basilport.router.InstanceSettings;
import org.basilport.standin.platform.MemoryPlatform;
import org.basilport.standin.platform.PlatformClient;

/** The control planes of a fleet, connected by an in-process network on a virtual clock. */
final class CapacityFleet {
  private static final int TIMELINE_CAPACITY = 200;
  private static final int DATA_CENTRES = 5;
  private static final int FLEET_WRITES_PER_SECOND = 300;
  private static final int FLEET_READS_PER_SECOND = 1_500;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final long INCARNATION = 1_772_438_400_000L;

  final VirtualScheduler scheduler = new VirtualScheduler(Instant.parse("2026-03-02T08:00:00Z"));
  final MemoryPlatform platform;
  final InProcessPeerNetwork network;
  final List<DefaultControlPlane> controlPlanes = new ArrayList<>();
  final Map<String, ReportingEngine> engines = new HashMap<>();
  private final CapacityPoint point;
  private final SplittableRandom random;

  CapacityFleet(CapacityPoint point, long seed) {
    this.point = point;
    random = new SplittableRandom(seed);
    platform = new MemoryPlatform(scheduler, random.split());
    platform.faults().instanceDirectoryLag(Duration.ofSeconds(1));
    network = new InProcessPeerNetwork(scheduler, random.split());
    for (int i = 0; i < point.servers(); i++) {
      String address = "10.2." + i / 250 + "." + i % 250 + ":8000";
      engines.put(address, new ReportingEngine());
      addToInstanceList(
          "replica-" + i,
          InstanceKind.BACKEND,
          CapacityConfiguration.serviceName(i),
          i,
          address,
          "");
    }
  }

  /** Starts all instances at random times within a duration, and runs the clock for it. */
  void start(Duration duration) {
    for (int i = 0; i < point.instances(); i++) {
      int index = i;
      Duration delay = Duration.ofNanos(random.nextLong(duration.toNanos()));
      scheduler.schedule(delay, () -> startInstance(index));
    }
    scheduler.runFor(duration);
  }

  /** Applies a configuration at the instance that started first. */
  void apply(double weight) {
    ConfigurationChange change =
        new ConfigurationChange(
            "apply-" + weight, "operator", -1, CapacityConfiguration.withWeight(point, weight));
    controlPlanes.get(0).apply(change);
  }

  /**
   * Runs the clock until a condition holds.
   *
   * @return elapsed virtual time, in seconds, or -1 when the limit was reached first
   */
  double runUntil(BooleanSupplier condition, Duration limit) {
    long start = scheduler.nanoTime();
    while (!condition.getAsBoolean()) {
      if (scheduler.nanoTime() - start >= limit.toNanos()) {
        return -1;
      }
      scheduler.runFor(POLL_INTERVAL);
    }
    return (scheduler.nanoTime() - start) / 1e9;
  }

  boolean inForceEverywhere(long number) {
    return controlPlanes.stream()
        .allMatch(
            controlPlane ->
                controlPlane.configuration().current().map(AcceptedConfiguration::number).orElse(0L)
                    >= number);
  }

  /** Returns the smallest number of members known to any instance, itself included. */
  int fewestMembers() {
    return controlPlanes.stream()
        .mapToInt(controlPlane -> controlPlane.membership().members().size())
        .min()
        .orElse(0);
  }

  /** Returns the smallest number of backend servers known to any instance. */
  int fewestServers() {
    return controlPlanes.stream()
        .mapToInt(controlPlane -> controlPlane.backends().servers().size())
        .min()
        .orElse(0);
  }

  /** Returns the number of ordered pairs of instances in which the first assigns that health. */
  long countPairs(MemberHealth health) {
    return controlPlanes.stream()
        .flatMap(controlPlane -> controlPlane.membership().members().stream())
        .map(Member::health)
        .filter(health::equals)
        .count();
  }

  long reportCount() {
    return engines.values().stream().mapToLong(ReportingEngine::reports).sum();
  }

  private void startInstance(int index) {
    String id = "entry-" + index;
    String host = "10.1." + index / 250 + "." + index % 250;
    String peerAddress = host + ":7400";
    ListedInstance listed =
        addToInstanceList(id, InstanceKind.ENTRY, "", index, host + ":8080", peerAddress);
    InstanceSettings settings =
        new InstanceSettings(
            id,
            INCARNATION,
            listed.region(),
            listed.dataCentre(),
            listed.address(),
            peerAddress,
            "cluster-key",
            25_000,
            30_000,
            FLEET_WRITES_PER_SECOND,
            FLEET_READS_PER_SECOND);
    HybridLogicalClock clock = new HybridLogicalClock(() -> scheduler.now().toEpochMilli());
    PlatformClient client = platform.client(id);
    DefaultControlPlane controlPlane =
        new DefaultControlPlane(
            settings,
            client,
            client,
            network.connector(peerAddress),
            engines::get,
            address -> {
              throw new IllegalStateException("no application service is configured");
            },
            network.scheduler(peerAddress),
            new Timeline(id, clock, TIMELINE_CAPACITY),
            random.split());
    network.register(
        peerAddress, controlPlane.peerEndpoint(new GrantingIsolationHandler(), reason -> {}));
    controlPlanes.add(controlPlane);
    controlPlane.start();
  }

  private ListedInstance addToInstanceList(
      String id, InstanceKind kind, String service, int index, String address, String peerAddress) {
    int dataCentre = index % DATA_CENTRES;
    ListedInstance instance =
        new ListedInstance(
            id,
            kind,
            service,
            "region-" + dataCentre / 3,
            "centre-" + dataCentre,
            address,
            peerAddress,
            InstanceState.LIVE,
            INCARNATION);
    platform.putInstance(instance);
    return instance;
  }

  private static final class GrantingIsolationHandler implements IsolationHandler {
    @Override
    public IsolationReply acquire(IsolationRequest request) {
      return IsolationReply.newBuilder().setGranted(true).build();
    }

    @Override
    public IsolationReply release(IsolationRequest request) {
      return IsolationReply.getDefaultInstance();
    }
  }
}
