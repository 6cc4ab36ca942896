package org.basilport.fake;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.basilport.backend.BackendServer;
import org.basilport.config.AcceptedConfiguration;
import org.basilport.config.ApplicationService;
import org.basilport.config.Deployment;
import org.basilport.config.FencingMode;
import org.basilport.config.ModelService;
import org.basilport.config.Objective;
import org.basilport.config.Route;
import org.basilport.config.Workspace;
import org.basilport.delivery.FifoGenerationPolicy;
import org.basilport.event.HybridLogicalClock;
import org.basilport.event.Timeline;
import org.basilport.membership.MemberStatus;
import org.basilport.misc.VirtualScheduler;
import org.basilport.router.Credentials;
import org.basilport.router.DefaultRouter;
import org.basilport.router.InstanceSettings;
import org.basilport.service.ServiceReplica;

/** Routers in virtual time that share an object store, engines and replicas. */
public final class FakeFleet {
  /** Credentials of the workspace that tests use by default. */
  public static final Credentials CALLER = new Credentials("w", "secret");

  /** Credentials of another workspace. */
  public static final Credentials OTHER_CALLER = new Credentials("other", "secret");

  public final VirtualScheduler scheduler =
      new VirtualScheduler(Instant.parse("2026-01-05T08:00:00Z"));
  public final FakeObjectStore store = new FakeObjectStore(scheduler);
  public final MetricRegistry metrics = new MetricRegistry();
  public final List<FakeControlPlane> controlPlanes = new ArrayList<>();
  public final List<DefaultRouter> routers = new ArrayList<>();
  public final List<Timeline> timelines = new ArrayList<>();
  public final Map<String, FakeEngine> engines = new LinkedHashMap<>();
  public final Map<String, FakeServiceReplica> replicas = new LinkedHashMap<>();
  final List<BackendServer> backends = new ArrayList<>();
  final AcceptedConfiguration configuration;
  int engineCrashes;

  /** Creates and starts a fleet. */
  public FakeFleet(int instances, int engineCount) {
    configuration =
        new AcceptedConfiguration(1, "apply", "test", scheduler.now(), deployment(50, 1_000));
    for (int i = 0; i < engineCount; i++) {
      String id = "engine-" + i;
      FakeEngine engine = new FakeEngine(scheduler);
      engines.put(id, engine);
      BackendServer server = new BackendServer(id, 1, "llm", "r", "dc", id, false);
      backends.add(server);
      engine.onCrash = () -> scheduleCrashNotice(server);
    }
    for (int i = 0; i < 3; i++) {
      String id = "replica-" + i;
      replicas.put(id, new FakeServiceReplica(scheduler));
      backends.add(new BackendServer(id, 1, "app", "r", "dc", id, false));
    }
    for (int i = 0; i < instances; i++) {
      addInstance("i" + i);
    }
    controlPlanes.forEach(FakeControlPlane::start);
    routers.forEach(DefaultRouter::start);
    advanceMillis(100);
  }

  /** Advances virtual time. */
  public void advanceMillis(long millis) {
    scheduler.runFor(Duration.ofMillis(millis));
  }

  /** Returns the number of crashed engines. */
  public int engineCrashes() {
    return engineCrashes;
  }

  /** Makes an instance appear to have left, so that it owns no keys. */
  public void declareDead(int instance) {
    controlPlanes.get(instance).status = MemberStatus.LEFT;
  }

  private void addInstance(String id) {
    InstanceSettings settings =
        new InstanceSettings(id, 1, "r", "dc", id, id, "cluster-key", 25_000, 30_000, 300, 1_500);
    Timeline timeline =
        new Timeline(id, new HybridLogicalClock(() -> scheduler.now().toEpochMilli()), 2_000);
    FakeControlPlane controlPlane = new FakeControlPlane(this, settings);
    controlPlanes.add(controlPlane);
    timelines.add(timeline);
    routers.add(
        new DefaultRouter(
            settings,
            controlPlane,
            store,
            engines::get,
            address -> (ServiceReplica) replicas.get(address),
            (policy, random) -> new FifoGenerationPolicy(policy),
            scheduler,
            scheduler,
            timeline,
            new SplittableRandom(7 + id.hashCode()),
            metrics));
  }

  /** Notifies all instances of a crash one second after it happened. */
  private void scheduleCrashNotice(BackendServer server) {
    engineCrashes++;
    scheduler.schedule(
        Duration.ofSeconds(1),
        () -> {
          backends.remove(server);
          controlPlanes.forEach(controlPlane -> controlPlane.notifyCrash(server));
        });
  }

  private static Deployment deployment(int concurrent, double rate) {
    String hash = Hashing.sha256().hashString("secret", StandardCharsets.UTF_8).toString();
    Objective objective = new Objective(1, 1, 1);
    return new Deployment(
        "site",
        List.of(
            new ModelService("llm", "model", 3, FencingMode.ENFORCED, objective, 20, 0.1, 100_000)),
        List.of(new ApplicationService("app", 3, 5_000)),
        List.of(
            new Workspace("w", hash, 1, concurrent, rate),
            new Workspace("other", hash, 1, concurrent, rate),
            new Workspace("small", hash, 1, 1, rate)),
        List.of(
            new Route("chat", "llm", Route.Delivery.STREAMED),
            new Route("late", "llm", Route.Delivery.DEFERRED),
            new Route("move", "app", Route.Delivery.CALL)));
  }
}
