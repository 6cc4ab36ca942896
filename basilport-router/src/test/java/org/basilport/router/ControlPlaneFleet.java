package org.basilport.router;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ApplicationService;
import org.basilport.config.ConfigurationChange;
import org.basilport.config.Deployment;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.error.UnavailableException;
import org.basilport.event.Event;
import org.basilport.event.EventType;
import org.basilport.event.HybridLogicalClock;
import org.basilport.event.Timeline;
import org.basilport.misc.VirtualScheduler;
import org.basilport.peer.InProcessPeerNetwork;
import org.basilport.platform.InstanceDirectory;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.protocol.IsolationReply;
import org.basilport.protocol.IsolationRequest;
import org.basilport.quarantine.IsolationHandler;
import org.basilport.service.ServiceReplica;
import org.basilport.service.ServiceReport;
import org.basilport.service.ServiceRequest;
import org.basilport.service.ServiceResponse;
import org.basilport.store.InMemoryObjectStore;

/** Control planes of one site on an in-process network, with simulated backend servers. */
final class ControlPlaneFleet {
  final VirtualScheduler scheduler = new VirtualScheduler(Instant.parse("2026-03-02T08:00:00Z"));
  final InMemoryObjectStore objectStore = new InMemoryObjectStore(scheduler);
  final InProcessPeerNetwork network;
  final Map<String, DefaultControlPlane> controlPlanes = new TreeMap<>();
  final Map<String, ListedInstance> listedInstances = new TreeMap<>();
  final Map<String, ServiceReport> reports = new TreeMap<>();
  private final Map<String, Timeline> timelines = new TreeMap<>();
  private final SplittableRandom random;
  boolean directoryUnavailable;
  boolean reportsHang;

  ControlPlaneFleet(long seed, int instances) {
    random = new SplittableRandom(seed);
    network = new InProcessPeerNetwork(scheduler, random.split());
    for (int i = 0; i < instances; i++) {
      String id = "instance-" + i;
      listedInstances.put(id, listedInstance(id, 1, i));
    }
    for (int i = 0; i < instances; i++) {
      start("instance-" + i, 1, List.of());
    }
  }

  static String address(String id) {
    return id + ":7400";
  }

  private static ListedInstance listedInstance(String id, long incarnation, int index) {
    return new ListedInstance(
        id,
        InstanceKind.ENTRY,
        "",
        "co-centro",
        List.of("bogota-a", "bogota-b", "tunja-c").get(index % 3),
        id + ":8080",
        address(id),
        InstanceState.LIVE,
        incarnation);
  }

  DefaultControlPlane start(String id, long incarnation, List<String> seeds) {
    int index = Integer.parseInt(id.substring(id.indexOf('-') + 1));
    ListedInstance entry = listedInstance(id, incarnation, index);
    InstanceSettings settings =
        new InstanceSettings(
            id,
            incarnation,
            "co-centro",
            entry.dataCentre(),
            entry.address(),
            entry.peerAddress(),
            "cluster-key",
            25_000,
            30_000,
            300,
            1_500);
    HybridLogicalClock clock = new HybridLogicalClock(() -> scheduler.now().toEpochMilli());
    Timeline timeline = new Timeline(id, clock, 5_000);
    InstanceDirectory directory = this::readList;
    DefaultControlPlane controlPlane =
        new DefaultControlPlane(
            settings,
            objectStore,
            directory,
            network.connector(address(id)),
            serverAddress -> {
              throw new IllegalStateException("no model service is configured");
            },
            ReportingService::new,
            network.scheduler(address(id)),
            timeline,
            random.split(),
            seeds);
    network.register(address(id), controlPlane.peerEndpoint(new GrantingIsolation(), reason -> {}));
    controlPlanes.put(id, controlPlane);
    timelines.put(id, timeline);
    controlPlane.start();
    return controlPlane;
  }

  void kill(String id) {
    network.unregister(address(id));
    network.pause(address(id));
    controlPlanes.remove(id);
  }

  void addServer(String id, long incarnation) {
    listedInstances.put(
        id,
        new ListedInstance(
            id,
            InstanceKind.BACKEND,
            "shelf-app",
            "co-centro",
            "bogota-a",
            id,
            "",
            InstanceState.LIVE,
            incarnation));
    reports.put(id, new ServiceReport(incarnation, false, 0));
  }

  CompletableFuture<AcceptedConfiguration> applyConfiguration(String at, String applyId) {
    Deployment deployment =
        new Deployment(
            "andino",
            List.of(),
            List.of(new ApplicationService("shelf-app", 3, 5_000)),
            List.of(),
            List.of());
    return controlPlanes.get(at).apply(new ConfigurationChange(applyId, "ana", -1, deployment));
  }

  long configurationNumber(String id) {
    return controlPlanes
        .get(id)
        .configuration()
        .current()
        .map(AcceptedConfiguration::number)
        .orElse(0L);
  }

  /** Runs until all instances except the excluded ones have the configuration; returns the time. */
  Duration runUntilCurrent(long number, List<String> excluded) {
    long start = scheduler.nanoTime();
    while (controlPlanes.keySet().stream()
        .anyMatch(id -> !excluded.contains(id) && configurationNumber(id) < number)) {
      scheduler.runFor(Duration.ofMillis(10));
      if (scheduler.nanoTime() - start > Duration.ofSeconds(30).toNanos()) {
        break;
      }
    }
    return Duration.ofNanos(scheduler.nanoTime() - start);
  }

  void runSeconds(double seconds) {
    scheduler.runFor(Duration.ofMillis((long) (seconds * 1_000)));
  }

  List<Event> events(EventType type) {
    List<Event> events = new ArrayList<>();
    timelines.values().forEach(t -> events.addAll(t.events(e -> e.type() == type, 5_000)));
    return events;
  }

  private CompletableFuture<List<ListedInstance>> readList() {
    return directoryUnavailable
        ? CompletableFuture.failedFuture(
            new UnavailableException(
                FailureCode.PLATFORM_UNAVAILABLE,
                Outcome.NOT_RUN,
                Step.STORE,
                "platform",
                null,
                "the instance directory does not respond",
                null))
        : CompletableFuture.completedFuture(List.copyOf(listedInstances.values()));
  }

  private static final class GrantingIsolation implements IsolationHandler {
    @Override
    public IsolationReply acquire(IsolationRequest request) {
      return IsolationReply.newBuilder().setGranted(true).build();
    }

    @Override
    public IsolationReply release(IsolationRequest request) {
      return IsolationReply.getDefaultInstance();
    }
  }

  /** Replica that returns the report set by the test, and refuses connections if there is none. */
  private final class ReportingService implements ServiceReplica {
    private final String id;

    ReportingService(String id) {
      this.id = id;
    }

    @Override
    public CompletableFuture<ServiceResponse> call(ServiceRequest request) {
      throw new UnsupportedOperationException("the control plane sends no requests");
    }

    @Override
    public CompletableFuture<ServiceReport> report() {
      ServiceReport report = reports.get(id);
      if (reportsHang) {
        return new CompletableFuture<>();
      }
      return report != null
          ? CompletableFuture.completedFuture(report)
          : CompletableFuture.failedFuture(
              new BackendException(
                  FailureCode.BACKEND_FAILED,
                  Outcome.NOT_RUN,
                  Step.CONNECT,
                  id,
                  "connection refused",
                  null));
    }
  }
}
