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
import org.basilport.misc.LoopbackPorts;
import org.basilport.platform.InstanceKind;
import org.basilport.platform.InstanceState;
import org.basilport.platform.ListedInstance;
import org.basilport.router.InstanceSettings;
import org.basilport.standin.engine.EngineSettings;
import org.basilport.standin.http.EngineHttpServer;
import org.basilport.standin.site.SiteSettings;
import org.basilport.standin.site.StandInProcess;

/** Stand-ins in this process and one daemon, in this process or in a JVM started by the user. */
final class LoadSite implements AutoCloseable {
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(90);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final long UNLIMITED_CAPACITY_TOKENS = 1_000_000_000;
  private static final int UNLIMITED_BATCH = 1_000_000;
  private static final int PREFIX_CACHE_TOKENS = 20_000;
  private static final int TIMELINE_CAPACITY = 10_000;
  private static final int FLEET_WRITES_PER_SECOND = 300;
  private static final int FLEET_READS_PER_SECOND = 1_500;
  private static final long RESUME_WINDOW_MILLIS = 5_000;

  private final LoadSettings settings;
  private final StandInProcess standIns;
  private final OperatorClient operator =
      new OperatorClient(HttpClient.newHttpClient(), CALL_TIMEOUT);
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

  /**
   * Returns settings of engines with a constant step time, so that load on one path does not slow
   * down the other.
   */
  private static EngineSettings engineSettings(Duration step) {
    EngineSettings defaults = EngineSettings.defaults();
    return new EngineSettings(
        UNLIMITED_CAPACITY_TOKENS,
        UNLIMITED_BATCH,
        step,
        Duration.ZERO,
        Duration.ZERO,
        UNLIMITED_BATCH,
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

  /** Starts the stand-ins and adds the daemon to the instance directory. */
  void startStandIns() throws IOException {
    standIns.start().join();
    entry =
        new ListedInstance(
            "entry-1",
            InstanceKind.ENTRY,
            "",
            LoadDeployment.REGION,
            LoadDeployment.DATA_CENTRES.get(0),
            LoopbackPorts.freeHostAndPort(),
            LoopbackPorts.freeHostAndPort(),
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
  void startDaemonInProcess() {
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
            FLEET_WRITES_PER_SECOND,
            FLEET_READS_PER_SECOND);
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

  /** Returns the arguments for starting the daemon in another JVM. */
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

  /** Returns the id of the process with the daemon's address in its command line. */
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
        .orElseThrow(
            () -> new IllegalStateException("daemon process not found by its command line"))
        .pid();
  }

  /** Applies the configuration and waits until the daemon is ready and has all engines' reports. */
  void awaitServing() throws InterruptedException, TimeoutException, IOException {
    long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
    ConfigurationChange first =
        new ConfigurationChange(
            UUID.randomUUID().toString(),
            "load",
            -1,
            LoadDeployment.withWeight(settings.engines(), 1, 1));
    while (!apply(first)) {
      sleepOrTimeOut(deadline, "the daemon did not accept the configuration");
    }
    while (!operator.ready(entry.address())
        || operator.reportedBackends(entry.address()) < settings.engines()) {
      sleepOrTimeOut(deadline, "the daemon did not become ready");
    }
  }

  private boolean apply(ConfigurationChange change) throws InterruptedException {
    try {
      return operator.apply(entry.address(), change) == 200;
    } catch (IOException notListening) {
      return false;
    }
  }

  private static void sleepOrTimeOut(long deadline, String problem)
      throws InterruptedException, TimeoutException {
    if (System.nanoTime() - deadline > 0) {
      throw new TimeoutException(problem + " within " + READY_TIMEOUT.toSeconds() + " s");
    }
    Thread.sleep(POLL_INTERVAL_MILLIS);
  }

  @Override
  public void close() {
    if (daemon != null) {
      daemon.stop().join();
    }
    standIns.stop().join();
  }
}
