package org.basilport.bench.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeoutException;
import org.basilport.config.ConfigurationChange;
import org.basilport.daemon.Daemon;
import org.basilport.daemon.DaemonFactory;
import org.basilport.daemon.DaemonSettings;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.router.InstanceSettings;
import org.basilport.standin.engine.EngineSettings;
import org.basilport.standin.http.EngineHttpServer;
import org.basilport.standin.site.SiteSettings;
import org.basilport.standin.site.StandInProcess;

/** Stand-ins in this process and one daemon, which runs here or in a JVM that the user starts. */
final class LoadSite implements AutoCloseable {
  private static final Duration READY_LIMIT = Duration.ofSeconds(90);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
  private static final long POLL_MILLIS = 100;
  private static final long LARGE = 1_000_000_000;
  private static final int BATCH = 1_000_000;
  private static final int PREFIX_CACHE_TOKENS = 20_000;
  private static final int TIMELINE_CAPACITY = 10_000;
  private static final int FLEET_WRITES = 300;
  private static final int FLEET_READS = 1_500;
  private static final long RESUME_WINDOW_MILLIS = 5_000;

  private final LoadSettings settings;
  private final StandInProcess standIns;
  private final OperatorCalls operator =
      new OperatorCalls(HttpClient.newHttpClient(), CALL_TIMEOUT);
  private ListedInstance entry;
  private Daemon daemon;

  LoadSite(LoadSettings settings) {
    this.settings = settings;
    this.standIns =
        new StandInProcess(
            new SiteSettings(
                LoadDeployment.REGION,
                List.of(LoadDeployment.DATA_CENTRES.get(0)),
                LoadDeployment.MODEL_SERVICE,
                settings.engines(),
                LoadDeployment.APPLICATION_SERVICE,
                1,
                0,
                1,
                engineSettings(settings.step())));
  }

  /** Engines whose step does not depend on load, so that both paths meet the same engines. */
  private static EngineSettings engineSettings(Duration step) {
    EngineSettings defaults = EngineSettings.defaults();
    return new EngineSettings(
        LARGE,
        BATCH,
        step,
        Duration.ZERO,
        Duration.ZERO,
        BATCH,
        PREFIX_CACHE_TOKENS,
        Duration.ZERO,
        defaults.reportLag(),
        Duration.ofSeconds(10),
        defaults.modelLoadTime(),
        true,
        false,
        defaults.medianLength(),
        defaults.lengthSigma(),
        defaults.models());
  }

  /** Starts the stand-ins and lists the daemon. */
  void startStandIns() throws IOException {
    standIns.start().join();
    entry =
        new ListedInstance(
            "entry-1",
            InstanceKind.ENTRY,
            "",
            LoadDeployment.REGION,
            LoadDeployment.DATA_CENTRES.get(0),
            LoopbackPorts.freeAddress(),
            LoopbackPorts.freeAddress(),
            InstanceState.LIVE,
            1);
    standIns.platform().putInstance(entry);
  }

  List<String> engineAddresses() {
    return standIns.engineServers().stream().map(EngineHttpServer::address).toList();
  }

  String daemonAddress() {
    return entry.address();
  }

  /** Starts the daemon in this process. */
  void startDaemonHere() {
    InstanceSettings instance =
        new InstanceSettings(
            entry.id(),
            1,
            entry.region(),
            entry.dataCentre(),
            entry.address(),
            entry.peerAddress(),
            LoadDeployment.CLUSTER_KEY,
            0,
            RESUME_WINDOW_MILLIS,
            FLEET_WRITES,
            FLEET_READS);
    daemon =
        DaemonFactory.create(
            new DaemonSettings(
                instance,
                standIns.platformAddress(),
                LoadDeployment.OPERATOR_KEY,
                DaemonSettings.DEFAULT_MAX_BODY_BYTES,
                TIMELINE_CAPACITY,
                "pattern",
                "warn"));
    daemon.start().join();
  }

  /** Arguments with which the user starts the daemon in another JVM. */
  String routerArguments() {
    return String.join(
        " ",
        "router",
        "--instance-id entry-1 --incarnation 1 --log-level warn --drain-limit-millis 0",
        "--resume-window-millis " + RESUME_WINDOW_MILLIS,
        "--region " + entry.region(),
        "--data-centre " + entry.dataCentre(),
        "--address " + entry.address(),
        "--peer-address " + entry.peerAddress(),
        "--platform-address " + standIns.platformAddress(),
        "--cluster-key " + LoadDeployment.CLUSTER_KEY,
        "--operator-key " + LoadDeployment.OPERATOR_KEY);
  }

  /** Process id of the daemon in another JVM, found by the address in its command line. */
  long daemonPid() {
    return ProcessHandle.allProcesses()
        .filter(
            process ->
                process
                    .info()
                    .arguments()
                    .map(List::of)
                    .filter(arguments -> arguments.contains("router"))
                    .filter(arguments -> arguments.contains(entry.address()))
                    .isPresent())
        .filter(process -> process.info().command().orElse("").endsWith("java"))
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("the daemon's process was not found"))
        .pid();
  }

  /** Applies the configuration and waits until the daemon serves and has reports of all engines. */
  void awaitServing() throws InterruptedException, TimeoutException, IOException {
    long deadline = System.nanoTime() + READY_LIMIT.toNanos();
    ConfigurationChange first =
        new ConfigurationChange(
            UUID.randomUUID().toString(),
            "load",
            -1,
            LoadDeployment.withWeight(settings.engines(), 1, 1));
    while (!applied(first)) {
      pause(deadline, "the daemon did not accept the configuration");
    }
    while (!operator.ready(entry.address())
        || operator.reportedBackends(entry.address()) < settings.engines()) {
      pause(deadline, "the daemon did not become ready");
    }
  }

  private boolean applied(ConfigurationChange change) throws InterruptedException {
    try {
      return operator.apply(entry.address(), change) == 200;
    } catch (IOException notListening) {
      return false;
    }
  }

  private static void pause(long deadline, String problem)
      throws InterruptedException, TimeoutException {
    if (System.nanoTime() - deadline > 0) {
      throw new TimeoutException(problem + " within " + READY_LIMIT.toSeconds() + " s");
    }
    Thread.sleep(POLL_MILLIS);
  }

  @Override
  public void close() {
    if (daemon != null) {
      daemon.stop().join();
    }
    standIns.stop().join();
  }
}
