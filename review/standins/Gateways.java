import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the project's program with the command of the deploy file, and ends all processes that it started. */
final class Gateways implements AutoCloseable {
  /** A process of the system and the addresses that it listens on. */
  static final class Instance {
    final String name;
    final String host;
    final InetSocketAddress frontend;
    final InetSocketAddress ready;
    final Path settings;
    final Path log;
    volatile Process process;

    Instance(String name, String host, InetSocketAddress frontend, InetSocketAddress ready, Path settings, Path log) {
      this.name = name;
      this.host = host;
      this.frontend = frontend;
      this.ready = ready;
      this.settings = settings;
      this.log = log;
    }
  }

  private final Path repository;
  private final Path folder;
  private final InetSocketAddress store;
  private final Record record;
  private final List<Process> started = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final String network;

  Gateways(Path repository, Path folder, InetSocketAddress store, Record record) {
    this.repository = repository;
    this.folder = folder;
    this.store = store;
    this.record = record;
    Random random = new Random();
    this.network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static InetSocketAddress free(String host) throws IOException {
    try (ServerSocket probe = new ServerSocket()) {
      probe.setReuseAddress(true);
      probe.bind(new InetSocketAddress(host, 0));
      return (InetSocketAddress) probe.getLocalSocketAddress();
    }
  }

  /** Prepares an instance; the settings are those of a small deployment, as in DEPLOY.md. */
  Instance prepare(String name, String zone, boolean bootstrap) throws IOException {
    String host = network + (1 + instances.size());
    InetSocketAddress frontend = free(host);
    InetSocketAddress ready = free(host);
    InetSocketAddress directory = free(host);
    InetSocketAddress control = free(host);
    String settings =
        String.join("\n",
            "node_name = \"" + name + "\"",
            "role = \"gateway\"",
            "machine_class = \"edge\"",
            "serves = [\"edge\",\"registry\"]",
            "ip = \"" + host + "\"",
            "zone = \"" + zone + "\"",
            "region = \"region-1\"",
            "internal_ports = [7200,7215]",
            "seeds = []",
            "bootstrap = " + bootstrap,
            "fault_counted = false",
            "discovery = \"platform\"",
            "entry = \"registry\"",
            "heartbeat_ms = 1200",
            "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]",
            "[zones]",
            "zone-a = \"region-1\"",
            "zone-b = \"region-1\"",
            "[listen]",
            "frontend = \"" + text(frontend) + "\"",
            "ready = \"" + text(ready) + "\"",
            "control = \"" + text(control) + "\"",
            "directory = \"" + text(directory) + "\"",
            "[limits]",
            "cpu_share = 0.75",
            "cores = 1",
            "memory_mb = 280",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            "disk_mb = 0",
            "[fault_tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            "seed_lag_s = 3",
            "reuse_after_s = 2",
            "contact_ms = 3000",
            "ack_ms = 4000",
            "catch_up_s = 4",
            "drain_ms = 2000",
            "grace_s = 8",
            "loss_slack_ms = 200",
            "config_apply_ms = 2000",
            "rollback_slack_ms = 250",
            "outer_ms = 5000",
            "strict_revoke = true",
            "revoke_ms = 5000",
            "retry_ratio = 0.2",
            "retry_window_s = 10",
            "retry_extra = 52",
            "recovery_s = 12",
            "pass_ms = 120",
            "reuse_window_s = 4.3",
            "ttl_max_s = 5",
            "[platform]",
            "address = \"" + text(store) + "\"",
            "form = \"objects\"",
            "writes_per_s = 400",
            "reads_per_s = 2000",
            "history_s = 20",
            "value_bytes = 1048576",
            "ttl_min_ms = 1000",
            "");
    Path file = folder.resolve(name + ".toml");
    Files.writeString(file, settings);
    Instance instance = new Instance(name, host, frontend, ready, file, folder.resolve(name + ".log"));
    instances.add(instance);
    return instance;
  }

  static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private List<String> command() throws IOException {
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run command in deploy/system.toml");
    }
    return Arrays.asList(run.group(1).split(" "));
  }

  /** Starts the process of an instance, also after it has ended. */
  synchronized void start(Instance instance) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(repository.toFile());
    Map<String, String> kept = new HashMap<>();
    for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      if (System.getenv(name) != null) {
        kept.put(name, System.getenv(name));
      }
    }
    builder.environment().clear();
    builder.environment().putAll(kept);
    builder.environment().put("BASILPORT_SETTINGS", instance.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(instance.log.toFile()));
    instance.process = builder.start();
    started.add(instance.process);
    record.line("start of " + instance.name + ", process " + instance.process.pid());
  }

  /** Whether an instance says that it is ready, within a time. */
  boolean awaitReady(Instance instance, int seconds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < end) {
      if (ready(instance)) {
        record.line(instance.name + " is ready");
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  private static boolean ready(Instance instance) {
    try (Socket socket = new Socket()) {
      socket.connect(instance.ready, 500);
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write(
          ("GET /v1/ready HTTP/1.1\r\nHost: " + text(instance.ready) + "\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      return Wire.readHead(socket.getInputStream()).filter(head -> head.status() == 200).isPresent();
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a signal to the process of an instance. */
  void signal(Instance instance, String name) throws IOException, InterruptedException {
    record.line("SIG" + name + " to " + instance.name);
    new ProcessBuilder("kill", "-" + name, Long.toString(instance.process.pid())).inheritIO().start().waitFor();
  }

  @Override
  public synchronized void close() {
    for (Process process : started) {
      process.destroyForcibly();
    }
    for (Process process : started) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
