import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine of the system: runs the command of the deploy file with a settings file. */
final class Instance {
  final String name;
  final String ip;
  final int frontend;
  private final int ready;
  private final int directory;
  private final int control;
  private final int internal;
  private final Path folder;
  private final Path settings;
  private final String storeAddress;
  private int changes;
  private boolean pipedLogs;
  private Process process;

  Instance(Path folder, int index, String storeAddress) throws IOException {
    this.name = "edge-zone-a-" + index;
    this.ip = Addresses.ip(index);
    this.frontend = Addresses.freePort(ip);
    this.ready = Addresses.freePort(ip);
    this.directory = Addresses.freePort(ip);
    this.control = Addresses.freePort(ip);
    this.internal = Addresses.freePort(ip);
    this.folder = folder;
    this.settings = folder.resolve(name + ".toml");
    this.storeAddress = storeAddress;
    writeSettings("");
  }

  /** Changes the settings file as the platform does: other seeds. */
  void changeSettings() throws IOException {
    changes++;
    writeSettings("\"" + Addresses.ip(220 + changes) + ":" + control + "\"");
  }

  private void writeSettings(String seeds) throws IOException {
    String text = """
        node_name = "%s"
        role = "gateway"
        machine_class = "edge"
        serves = ["edge","registry"]
        ip = "%s"
        zone = "zone-a"
        region = "region-a"
        internal_ports = [%d,%d]
        seeds = [%s]
        bootstrap = true
        fault_counted = true
        discovery = "platform"
        entry = "registry"
        heartbeat_ms = 1200
        contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
        [zones]
        zone-a = "region-a"
        [listen]
        frontend = "%s:%d"
        ready = "%s:%d"
        control = "%s:%d"
        directory = "%s:%d"
        [limits]
        cpu_share = 0.75
        cores = 1
        memory_mb = 280
        max_fds = 4100
        link_mbps = 1000.0
        disk_mb = 0
        [fault_tolerance]
        machines = 1
        zones = 0
        regions = 0
        [bounds]
        seed_lag_s = 3
        reuse_after_s = 2
        contact_ms = 3000
        ack_ms = 4000
        catch_up_s = 4
        drain_ms = 2000
        grace_s = 8
        loss_slack_ms = 200
        config_apply_ms = 2000
        rollback_slack_ms = 250
        outer_ms = 5000
        strict_revoke = true
        revoke_ms = 5000
        retry_ratio = 0.2
        retry_window_s = 10
        retry_extra = 52
        recovery_s = 12
        pass_ms = 120
        reuse_window_s = 4.3
        ttl_max_s = 5
        [platform]
        address = "%s"
        form = "objects"
        writes_per_s = 400
        reads_per_s = 2000
        history_s = 20
        value_bytes = 1048576
        ttl_min_ms = 1000
        """
        .formatted(
            name, ip, internal, internal + 15, seeds, ip, frontend, ip, ready, ip, control, ip,
            directory, storeAddress);
    Files.writeString(settings, text);
  }

  /** The words of the run command of the deploy file. */
  private static List<String> command() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run command");
    }
    return List.of(run.group(1).split(" "));
  }

  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    File log = folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true);
    if (!pipedLogs) {
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    }
    String path = System.getenv("PATH");
    String home = System.getenv("HOME");
    String javaHome = System.getenv("JAVA_HOME");
    builder.environment().clear();
    builder.environment().put("PATH", path);
    builder.environment().put("HOME", home == null ? folder.toString() : home);
    if (javaHome != null) {
      builder.environment().put("JAVA_HOME", javaHome);
    }
    builder.environment().put("BASILPORT_SETTINGS", settings.toString());
    process = builder.start();
  }

  /** Lets the process write its logs into a pipe, which {@link #logs()} reads. */
  void pipeLogs() {
    pipedLogs = true;
  }

  /** The reading end of the pipe of the logs. */
  InputStream logs() {
    return process.getInputStream();
  }

  /** Sends a signal to the process of this instance. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  boolean awaitExit(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Ends the process and waits for it. */
  void end() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }

  /** Asks the readiness address as the platform does; 0 if there is no answer within a second. */
  int readiness() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + ip + ":" + ready + "/v1/ready").toURL().openConnection();
      connection.setConnectTimeout(1_000);
      connection.setReadTimeout(1_000);
      int status = connection.getResponseCode();
      connection.disconnect();
      return status;
    } catch (IOException e) {
      return 0;
    }
  }

  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (readiness() == 200) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }
}
