package org.basilport.standin.site;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.basilport.misc.Service;
import org.basilport.misc.ThreadScheduler;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.standin.engine.SimulatedEngine;
import org.basilport.standin.http.EngineHttpServer;
import org.basilport.standin.http.PlatformHttpServer;
import org.basilport.standin.http.ServiceHttpServer;
import org.basilport.standin.platform.MemoryPlatform;
import org.basilport.standin.service.CountingServiceReplica;
import org.basilport.standin.service.ExecutionCounts;

/**
 * All stand-ins of a site over HTTP: the platform, the engines and the replicas of an application
 * service. The start registers the backend servers in the instance directory; entry instances
 * register themselves by the platform's admin calls.
 */
public final class StandInProcess implements Service {
  private final SiteSettings settings;
  private final ThreadScheduler scheduler = new ThreadScheduler("stand-ins");
  private final ExecutionCounts counts = new ExecutionCounts();
  private final MemoryPlatform platform;
  private final PlatformHttpServer platformServer;
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final List<EngineHttpServer> engineServers = new ArrayList<>();
  private final List<CountingServiceReplica> replicas = new ArrayList<>();
  private final List<ServiceHttpServer> replicaServers = new ArrayList<>();

  /** Creates the stand-ins; their servers listen only after {@link #start}. */
  public StandInProcess(SiteSettings settings) {
    this.settings = settings;
    SplittableRandom random = new SplittableRandom(settings.seed());
    this.platform = new MemoryPlatform(scheduler, random.split());
    this.platformServer = new PlatformHttpServer(platform, port(0));
    for (int i = 0; i < settings.engines(); i++) {
      SimulatedEngine engine =
          new SimulatedEngine(
              settings.modelService() + "-" + i,
              settings.engineSettings(),
              scheduler,
              random.split());
      engines.add(engine);
      engineServers.add(new EngineHttpServer(engine, port(1 + i)));
    }
    for (int i = 0; i < settings.replicas(); i++) {
      CountingServiceReplica replica =
          new CountingServiceReplica(
              settings.applicationService() + "-" + i, scheduler, random.split(), counts);
      replicas.add(replica);
      replicaServers.add(new ServiceHttpServer(replica, port(1 + settings.engines() + i)));
    }
  }

  private int port(int offset) {
    return settings.firstPort() == 0 ? 0 : settings.firstPort() + offset;
  }

  /** The in-memory platform that the platform server exposes. */
  public MemoryPlatform platform() {
    return platform;
  }

  /** Address of the platform, known after the start. */
  public String platformAddress() {
    return platformServer.address();
  }

  /** The engines in the order of their ports. */
  public List<SimulatedEngine> engines() {
    return List.copyOf(engines);
  }

  /** The engines' servers; a stopped server refuses connections. */
  public List<EngineHttpServer> engineServers() {
    return List.copyOf(engineServers);
  }

  /** The replicas of the application service in the order of their ports. */
  public List<CountingServiceReplica> replicas() {
    return List.copyOf(replicas);
  }

  /** The replicas' servers; a stopped server refuses connections. */
  public List<ServiceHttpServer> replicaServers() {
    return List.copyOf(replicaServers);
  }

  /** Execution counts over all replicas. */
  public ExecutionCounts counts() {
    return counts;
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.allOf(
            servers().stream().map(Service::start).toArray(CompletableFuture[]::new))
        .thenRun(this::registerBackendServers);
  }

  @Override
  public CompletableFuture<Void> stop() {
    return CompletableFuture.allOf(
            servers().stream().map(Service::stop).toArray(CompletableFuture[]::new))
        .whenComplete((done, failure) -> scheduler.close());
  }

  private List<Service> servers() {
    List<Service> servers = new ArrayList<>();
    servers.add(platformServer);
    servers.addAll(engineServers);
    servers.addAll(replicaServers);
    return servers;
  }

  private void registerBackendServers() {
    for (int i = 0; i < engines.size(); i++) {
      SimulatedEngine engine = engines.get(i);
      registerBackendServer(
          i, engine.name(), settings.modelService(), engineServers.get(i).address());
    }
    for (int i = 0; i < replicas.size(); i++) {
      CountingServiceReplica replica = replicas.get(i);
      registerBackendServer(
          i, replica.name(), settings.applicationService(), replicaServers.get(i).address());
    }
  }

  private void registerBackendServer(int index, String id, String service, String address) {
    List<String> dataCentres = settings.dataCentres();
    platform.putInstance(
        new ListedInstance(
            id,
            InstanceKind.BACKEND,
            service,
            settings.region(),
            dataCentres.get(index % dataCentres.size()),
            address,
            "",
            InstanceState.LIVE,
            1));
  }
}
