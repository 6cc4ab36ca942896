package org.basilport.cli.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.config.ApplicationService;
import org.basilport.config.Deployment;
import org.basilport.config.FencingMode;
import org.basilport.config.ModelService;
import org.basilport.misc.Service;
import org.basilport.misc.ThreadScheduler;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.standin.engine.EngineSettings;
import org.basilport.standin.engine.SimulatedEngine;
import org.basilport.standin.http.EngineHttpServer;
import org.basilport.standin.http.PlatformHttpServer;
import org.basilport.standin.http.ServiceHttpServer;
import org.basilport.standin.platform.MemoryPlatform;
import org.basilport.standin.service.CountingServiceReplica;
import org.basilport.standin.service.ExecutionCounts;

/** Stand-ins for the platform and all backend servers of a site, on loopback ports. */
public final class StandInSite implements Service {
  private static final long FIRST_INCARNATION = 1;

  private final Deployment deployment;
  private final List<String> dataCentres;
  private final int firstPort;
  private final EngineSettings engineSettings;
  private final SplittableRandom random;
  private final ThreadScheduler scheduler = new ThreadScheduler("stand-ins");
  private final MemoryPlatform platform;
  private final PlatformHttpServer platformServer;
  private final ExecutionCounts executions = new ExecutionCounts();
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final List<Service> servers = new ArrayList<>();
  private int allocatedPorts;

  /**
   * Creates the stand-ins for a site.
   *
   * @param firstPort port of the platform, followed by those of the backend servers; 0 for any free
   *     ports
   */
  public StandInSite(
      Deployment deployment,
      List<String> dataCentres,
      int firstPort,
      EngineSettings engineSettings,
      long seed) {
    this.deployment = deployment;
    this.dataCentres = List.copyOf(dataCentres);
    this.firstPort = firstPort;
    this.engineSettings = engineSettings;
    this.random = new SplittableRandom(seed);
    this.platform = new MemoryPlatform(scheduler, random.split());
    this.platformServer = new PlatformHttpServer(platform, nextPort());
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.runAsync(
        () -> {
          startServer(platformServer);
          deployment.modelServices().forEach(this::startEngines);
          deployment.applicationServices().forEach(this::startReplicas);
        });
  }

  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<?>[] stops =
        servers.stream().map(Service::stop).toArray(CompletableFuture<?>[]::new);
    return CompletableFuture.allOf(stops).thenRun(scheduler::close);
  }

  /** IP address and port of the platform. */
  public String platformAddress() {
    return platformServer.address();
  }

  /** In-memory platform behind the platform server. */
  public MemoryPlatform platform() {
    return platform;
  }

  /** Simulated engines behind the engine servers. */
  public List<SimulatedEngine> engines() {
    return List.copyOf(engines);
  }

  /** Execution counts of the calls at all application services. */
  public ExecutionCounts executions() {
    return executions;
  }

  /** Adds an entry instance to the instance directory and returns its entry. */
  public ListedInstance listEntry(int index, String address, String peerAddress) {
    ListedInstance entry =
        new ListedInstance(
            "entry-" + (index + 1),
            InstanceKind.ENTRY,
            "",
            deployment.site(),
            dataCentre(index),
            address,
            peerAddress,
            InstanceState.LIVE,
            FIRST_INCARNATION);
    platform.putInstance(entry);
    return entry;
  }

  private void startEngines(ModelService service) {
    EngineSettings settings = engineSettings.withFencing(service.fencing() == FencingMode.ENFORCED);
    for (int i = 0; i < service.replicas(); i++) {
      String id = service.name() + "-" + (i + 1);
      SimulatedEngine engine = new SimulatedEngine(id, settings, scheduler, random.split());
      EngineHttpServer server = new EngineHttpServer(engine, nextPort());
      startServer(server);
      engines.add(engine);
      listBackend(id, service.name(), i, server.address());
    }
  }

  private void startReplicas(ApplicationService service) {
    for (int i = 0; i < service.replicas(); i++) {
      String id = service.name() + "-" + (i + 1);
      CountingServiceReplica replica =
          new CountingServiceReplica(id, scheduler, random.split(), executions);
      ServiceHttpServer server = new ServiceHttpServer(replica, nextPort());
      startServer(server);
      listBackend(id, service.name(), i, server.address());
    }
  }

  private void startServer(Service server) {
    server.start().join();
    servers.add(server);
  }

  private void listBackend(String id, String service, int index, String address) {
    platform.putInstance(
        new ListedInstance(
            id,
            InstanceKind.BACKEND,
            service,
            deployment.site(),
            dataCentre(index),
            address,
            "",
            InstanceState.LIVE,
            FIRST_INCARNATION));
  }

  private String dataCentre(int index) {
    return dataCentres.get(index % dataCentres.size());
  }

  private int nextPort() {
    return firstPort == 0 ? 0 : firstPort + allocatedPorts++;
  }
}
