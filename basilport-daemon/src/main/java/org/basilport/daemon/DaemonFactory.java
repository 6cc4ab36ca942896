package org.basilport.daemon;

import com.codahale.metrics.MetricRegistry;
import java.security.SecureRandom;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.basilport.config.ConfigurationProblem;
import org.basilport.config.Deployment;
import org.basilport.config.DeploymentValidator;
import org.basilport.daemon.http.HttpInterface;
import org.basilport.daemon.http.OperatorActions;
import org.basilport.daemon.peer.GrpcPeerConnector;
import org.basilport.daemon.peer.GrpcPeerServer;
import org.basilport.engine.http.HttpModelEngineConnector;
import org.basilport.event.HybridLogicalClock;
import org.basilport.event.Timeline;
import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.misc.Service;
import org.basilport.misc.ThreadScheduler;
import org.basilport.platform.http.HttpInstanceDirectory;
import org.basilport.platform.http.HttpObjectStore;
import org.basilport.platform.http.HttpWeightStore;
import org.basilport.policy.AdaptiveGenerationPolicyFactory;
import org.basilport.router.DefaultControlPlane;
import org.basilport.router.DefaultRouter;
import org.basilport.router.InstanceSettings;
import org.basilport.router.Router;
import org.basilport.service.http.HttpServiceReplicaConnector;

/** Builds a daemon from its settings: threads, connections, router and servers. */
public final class DaemonFactory {
  private static final int CLIENT_THREADS = 4;

  /** Time for the message that tells peers that this instance has left; without it they suspect. */
  private static final long LAST_GOSSIP_MILLIS = 200;

  private final DaemonSettings settings;
  private final MetricRegistry metrics = new MetricRegistry();
  private final ThreadScheduler control;
  private final ThreadScheduler traffic;
  private final HttpTransport http;
  private final GrpcPeerConnector peers;
  private final AtomicReference<Daemon> daemon = new AtomicReference<>();

  private DaemonFactory(DaemonSettings settings) {
    this.settings = settings;
    String id = settings.instance().instanceId();
    this.control = new ThreadScheduler(id + "-control");
    this.traffic = new ThreadScheduler(id + "-traffic");
    this.http = HttpTransport.standalone(CLIENT_THREADS, HttpTimeouts.defaults());
    this.peers = new GrpcPeerConnector(settings.instance().clusterKey());
  }

  /** Builds a daemon that has not started. */
  public static Daemon create(DaemonSettings settings) {
    return new DaemonFactory(settings).build();
  }

  private Daemon build() {
    InstanceSettings instance = settings.instance();
    Router router = router(instance);
    TimelineCollector collector =
        new TimelineCollector(router.membership(), router.peerEndpoint(), peers);
    HttpInterface callers = new HttpInterface(settings, router, collector, actions(), metrics);
    GrpcPeerServer peerServer =
        new GrpcPeerServer(instance.peerAddress(), instance.clusterKey(), router.peerEndpoint());
    Daemon built = new Daemon(router, List.of(new Connections(), peerServer, callers));
    daemon.set(built);
    return built;
  }

  private Router router(InstanceSettings instance) {
    String id = instance.instanceId();
    HybridLogicalClock clock = new HybridLogicalClock(System::currentTimeMillis);
    Timeline timeline = new Timeline(id, clock, settings.timelineCapacity());
    SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    HttpModelEngineConnector engines = new HttpModelEngineConnector(http);
    HttpServiceReplicaConnector services = new HttpServiceReplicaConnector(http);
    DefaultControlPlane controlPlane =
        new DefaultControlPlane(
            instance,
            new HttpObjectStore(http, settings.platformAddress(), id),
            new HttpInstanceDirectory(http, settings.platformAddress(), id),
            peers,
            engines,
            services,
            control,
            timeline,
            random.split());
    return new DefaultRouter(
        instance,
        controlPlane,
        controlPlane.rateLimitedStore(),
        new HttpWeightStore(http, settings.platformAddress(), id),
        engines,
        services,
        new AdaptiveGenerationPolicyFactory(),
        control,
        traffic,
        timeline,
        random.split(),
        metrics);
  }

  private OperatorActions actions() {
    return new OperatorActions() {
      @Override
      public List<String> problems(Deployment deployment) {
        return new DeploymentValidator()
            .validate(deployment).stream().map(ConfigurationProblem::toString).toList();
      }

      @Override
      public void drain(String reason) {
        daemon.get().shutDown(reason);
      }
    };
  }

  /** Closes connections and threads; it is the last service that stops. */
  private final class Connections implements Service {
    @Override
    public CompletableFuture<Void> start() {
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
      Executor afterLastGossip =
          CompletableFuture.delayedExecutor(LAST_GOSSIP_MILLIS, TimeUnit.MILLISECONDS);
      return CompletableFuture.runAsync(
          () -> {
            // The schedulers close first, so that closed connections are not handled as failures.
            traffic.close();
            control.close();
            peers.close();
            http.close();
          },
          afterLastGossip);
    }
  }
}
