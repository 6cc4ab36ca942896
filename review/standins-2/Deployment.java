import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** Store, instances and record of one case; ends all processes that it started. */
final class Deployment implements AutoCloseable {
  static final String KEY = "key-of-tenant-a";

  /** Timeout of all routes. */
  static final int TIMEOUT_MILLIS = 2_500;

  /** Time for which an instance must have run undisturbed to be in touch. */
  static final long CONTACT_MILLIS = 3_000;

  /** Longest run of a case. */
  private static final long MAX_MILLIS = 110_000;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Record record;
  final PlatformStore store;
  final List<Instance> instances = new ArrayList<>();
  private final Path folder;
  private final AtomicInteger ids = new AtomicInteger();

  Deployment(Path caseFolder, int instanceCount) throws IOException {
    record = new Record(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("basilport-review");
    String storeIp = Addresses.ip(200);
    int storePort = Addresses.freePort(storeIp);
    store = new PlatformStore(storeIp, storePort);
    for (int i = 1; i <= instanceCount; i++) {
      instances.add(new Instance(folder, i, storeIp + ":" + storePort));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    Thread watchdog = new Thread(this::endLate, "watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
    record.line("trouble %b", trouble);
  }

  private void endLate() {
    try {
      Thread.sleep(MAX_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    record.line("did not end in time");
    System.exit(2);
  }

  String nextId() {
    return "attempt-" + ids.incrementAndGet();
  }

  /** Writes a desired state; its return is the confirmation. */
  void configure(String json) throws IOException {
    JsonNode spec = Json.MAPPER.readTree(json);
    store.put("config", "main", spec);
    record.line("desired state %d confirmed", spec.path("version").asLong());
  }

  static String route(String name, String path, String type, String service) {
    return """
        {"name":"%s","host":"a.example","path_prefix":"%s","route_type":"%s","timeout_ms":%d,
         "target_latency_ms":500,"priority":1,"service":"%s","max_attempts":2,"anonymous":false,
         "sticky":false,"resumable":false}"""
        .formatted(name, path, type, TIMEOUT_MILLIS, service);
  }

  static String service(String name) {
    return """
        {"name":"%s","health_path":"/health","max_connections":222,"protocol":"h1","tls":false}"""
        .formatted(name);
  }

  static String desiredState(int version, List<String> routes, List<String> services) {
    return """
        {"version":%d,"routes":[%s],"services":[%s],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                   "idle_timeout_ms":15000},
         "tenants":[{"name":"tenant-a","api_keys":["%s"],"priority":1}]}"""
        .formatted(version, String.join(",", routes), String.join(",", services), KEY);
  }

  /** Starts all instances and waits until they are ready. */
  void startAll() throws IOException, InterruptedException {
    for (Instance instance : instances) {
      instance.start();
      record.line("started %s", instance.name);
    }
    for (Instance instance : instances) {
      if (!instance.awaitReady(30_000)) {
        throw new IOException(instance.name + " was not ready within 30 s");
      }
    }
    record.line("all ready");
  }

  private void endProcesses() {
    for (Instance instance : instances) {
      try {
        instance.end();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
    store.stop();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      record.line("temporary folder not removed: %s", e);
    }
    record.line("all processes ended");
  }

  /** Code to run in a case. */
  interface Case {
    boolean held() throws Exception;
  }

  /** Runs a case and exits with 0 if the rule held, 1 if it was broken and 2 if it could not run. */
  static void exit(Deployment deployment, Case body) {
    int code = 2;
    try {
      code = body.held() ? 0 : 1;
    } catch (Exception e) {
      deployment.record.line("could not run: %s", e);
      e.printStackTrace();
    }
    deployment.record.line(code == 0 ? "held" : code == 1 ? "BROKEN" : "did not run");
    deployment.close();
    System.exit(code);
  }
}
