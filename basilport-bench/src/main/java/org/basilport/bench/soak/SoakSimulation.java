package org.basilport.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.basilport.event.Event;
import org.basilport.event.HybridLogicalClock;
import org.basilport.misc.VirtualScheduler;
import org.basilport.peer.InProcessPeerNetwork;
import org.basilport.standin.engine.EngineSettings;
import org.basilport.standin.engine.SimulatedEngine;
import org.basilport.standin.platform.MemoryPlatform;
import org.basilport.standin.service.CountingServiceReplica;
import org.basilport.standin.service.ExecutionCounts;

/** The simulated processes of one run: platform, backend servers and entry instances. */
final class SoakSimulation {
  static final String CRASH_MARKER = "CRASH";
  private static final int MAX_TIMELINE_EVENTS = 4_000;
  private static final int MAX_FAULT_RECORDS = 400;
  private static final long ENGINE_CAPACITY_TOKENS = 20_000;

  final SoakSettings settings;
  final SplittableRandom random;
  final VirtualScheduler scheduler = new VirtualScheduler(Instant.parse("2026-01-05T08:00:00Z"));
  final MemoryPlatform platform;
  final InProcessPeerNetwork network;
  final ExecutionCounts executions = new ExecutionCounts();
  final SoakCounters counts = new SoakCounters();
  final List<SimulatedBackend> backends = new ArrayList<>();
  final List<SimulatedInstance> instances = new ArrayList<>();
  private final Deque<String> faultRecords = new ArrayDeque<>();
  private long traceHash = 17;

  SoakSimulation(SoakSettings settings) {
    this.settings = settings;
    this.random = new SplittableRandom(settings.seed());
    this.platform = new MemoryPlatform(scheduler, random.split());
    this.network = new InProcessPeerNetwork(scheduler, random.split());
    platform.faults().instanceDirectoryLag(Duration.ofSeconds(1));
    addBackends();
    for (int i = 0; i < settings.instances(); i++) {
      instances.add(new SimulatedInstance(this, i));
    }
  }

  private void addBackends() {
    for (int i = 0; i < settings.engines(); i++) {
      EngineSettings engineSettings =
          EngineSettings.defaults().withCapacityTokens(ENGINE_CAPACITY_TOKENS);
      SimulatedEngine engine =
          new SimulatedEngine("engine-" + i, engineSettings, scheduler, random.split());
      engine.faults().crashMarker(CRASH_MARKER);
      backends.add(SimulatedBackend.engine(this, i, engine));
    }
    for (int i = 0; i < settings.serviceReplicas(); i++) {
      CountingServiceReplica service =
          new CountingServiceReplica("shelf-" + i, scheduler, random.split(), executions);
      backends.add(SimulatedBackend.service(this, i, service));
    }
  }

  List<SimulatedBackend> engines() {
    return backends.stream().filter(b -> b.engine().isPresent()).collect(Collectors.toList());
  }

  /** Adds an observation and the current virtual time to the trace hash of the run. */
  void addToTrace(String entry) {
    traceHash = traceHash * 31 + entry.hashCode();
    traceHash = traceHash * 31 + scheduler.nanoTime();
  }

  long traceHash() {
    return traceHash;
  }

  double virtualSeconds() {
    return scheduler.nanoTime() / 1e9;
  }

  /** Counts a fault and keeps it for the timeline that is reported with a violation. */
  void recordFault(String name, String target) {
    counts.add("fault." + name);
    faultRecords.add(formatLine(scheduler.now().toEpochMilli(), "fault " + name + " " + target));
    if (faultRecords.size() > MAX_FAULT_RECORDS) {
      faultRecords.remove();
    }
  }

  /** Returns the latest events of all instances and the latest faults, one per line, by time. */
  String timeline() {
    Stream<String> events =
        instances.stream()
            .flatMap(instance -> instance.events().stream())
            .map(SoakSimulation::formatLine);
    List<String> lines = Stream.concat(events, faultRecords.stream()).sorted().toList();
    int from = Math.max(0, lines.size() - MAX_TIMELINE_EVENTS);
    return String.join("\n", lines.subList(from, lines.size()));
  }

  private static String formatLine(Event event) {
    return formatLine(
        HybridLogicalClock.millis(event.hybridTime()), event.instanceId() + " " + event.text());
  }

  private static String formatLine(long millis, String text) {
    return Instant.ofEpochMilli(millis) + " " + text;
  }
}
