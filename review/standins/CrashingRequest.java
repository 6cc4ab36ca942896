import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each model replica that begins to run it, before its first byte, and comes again at both
 * instances, while other streams are served.
 *
 * <p>Arguments: repository, folder of the case, temporary folder.
 */
final class CrashingRequest {
  private static final int REPLICAS = 4;
  private static final String CRASHING_PATH = Deployment.STREAMS + "crashing";
  private static final int SENDS = 12;
  private static final int SEND_INTERVAL_MILLIS = 2_000;

  /** Interval of the other streams: 24 a second at four replicas of 24 slots, each for a second. */
  private static final int STREAM_INTERVAL_MILLIS = 42;

  private static final int CONTACT_MILLIS = 3_000;
  private static final int BACK_MILLIS = 3_000;

  /** Three heartbeats, after which the entry of a crashed replica is removed. */
  private static final int EXPIRY_MILLIS = 3_600;

  private static final AtomicInteger BOOTS = new AtomicInteger();

  /** Times at which the request crashed a replica. */
  private static final ConcurrentLinkedQueue<Long> CRASHES = new ConcurrentLinkedQueue<>();

  private static volatile boolean stopped;

  private CrashingRequest() {}

  public static void main(String[] arguments) throws Exception {
    Path repository = Path.of(arguments[0]);
    Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
    Path folder = Files.createDirectories(Path.of(arguments[2]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    InetSocketAddress storeAddress = Gateways.free("127.0.0.1");
    Store store = new Store(storeAddress);
    int status = 2;
    try (Gateways gateways = new Gateways(repository, folder, storeAddress, record)) {
      status = play(gateways, store, record, trouble);
    } catch (Exception e) {
      record.line("the case could not run: " + e);
    }
    System.out.println(status == 0 ? "held" : status == 1 ? "broken" : "could not run");
    // An offset tells a result from an exit status of the Java runtime.
    Runtime.getRuntime().halt(10 + status);
  }

  /** Starts a replica, which is back under a new id some seconds after each crash. */
  private static void boot(Store store, Record record, boolean trouble) throws Exception {
    Replica.Engine engine = new Replica.Engine(60, 70, 800, 4, 18_432, 2_700);
    Replica replica = new Replica("i-" + BOOTS.incrementAndGet(), "127.0.0.1", "zone-a", Deployment.ENGINES, 24, Optional.of(engine), record);
    if (trouble) {
      replica.crashingPath = Optional.of(CRASHING_PATH);
      replica.onCrash =
          () -> {
            CRASHES.add(System.nanoTime());
            Threads.start(
                "boot",
                () -> {
                  Thread.sleep(BACK_MILLIS);
                  boot(store, record, true);
                  Thread.sleep(EXPIRY_MILLIS - BACK_MILLIS);
                  store.delete("servers", replica.id());
                });
          };
    }
    store.put("servers", replica.id(), replica.entry("ready", System.currentTimeMillis()));
    record.line("replica " + replica.id() + " registers");
  }

  private static int play(Gateways gateways, Store store, Record record, boolean trouble) throws Exception {
    store.put("config", "main", Deployment.desiredState(7));
    for (int i = 0; i < REPLICAS; i++) {
      boot(store, record, trouble);
    }
    List<Gateways.Instance> instances = List.of(gateways.prepare("edge-1", "zone-a", true), gateways.prepare("edge-2", "zone-a", true));
    for (Gateways.Instance instance : instances) {
      gateways.start(instance);
    }
    for (Gateways.Instance instance : instances) {
      if (!gateways.awaitReady(instance, 40)) {
        record.line(instance.name + " is not ready");
        return 2;
      }
    }
    Thread.sleep(4_000);
    AtomicInteger served = new AtomicInteger();
    AtomicInteger lost = new AtomicInteger();
    Threads.start("streams", () -> streams(instances, record, served, lost));
    Thread.sleep(3_000);
    List<Long> sentNanos = new ArrayList<>();
    for (int i = 1; i <= SENDS; i++) {
      sentNanos.add(System.nanoTime());
      Consumer.send(instances.get(i % 2).frontend, "crashing-" + i, CRASHING_PATH, Deployment.HOST, Deployment.KEY, 10_000,
          "X-Basilport-Model: m\r\nX-Basilport-Token-Count: 800,48\r\nX-Basilport-Prompt-Prefix: 5c1e07a2:40,c0ffee:760\r\n", record,
          "the same body");
      Thread.sleep(SEND_INTERVAL_MILLIS);
    }
    stopped = true;
    Thread.sleep(2_500);
    List<Long> crashes = new ArrayList<>(CRASHES);
    int late = 0;
    for (int i = 1; i <= SENDS; i++) {
      boolean reached = record.runs("crashing-" + i) > 0;
      if (reached && crashes.size() >= 3 && sentNanos.get(i - 1) - crashes.get(2) > CONTACT_MILLIS * 1_000_000L) {
        late++;
        record.line("crashing-" + i + " reached a replica, though it was sent more than " + CONTACT_MILLIS + " ms after the third crash");
      }
    }
    record.line("replicas crashed " + crashes.size() + " times; other streams served " + served + ", lost " + lost + "; retries after the third crash: " + late);
    if (served.get() < 50 || (trouble && crashes.isEmpty())) {
      return 2;
    }
    return late > 3 ? 1 : 0;
  }

  private static void streams(List<Gateways.Instance> instances, Record record, AtomicInteger served, AtomicInteger lost) throws Exception {
    for (int i = 1; !stopped; i++) {
      String id = "stream-" + i;
      Consumer.send(instances.get(i % 2).frontend, id, Deployment.STREAMS + i, Deployment.HOST, Deployment.KEY, 10_000,
              "X-Basilport-Model: m\r\nX-Basilport-Token-Count: 800,52\r\nX-Basilport-Prompt-Prefix: 5c1e07a2:40,"
                  + Integer.toHexString(4_096 + i) + ":760\r\n",
              record)
          .thenAccept(answer -> (answer.status() == 200 && answer.complete() ? served : lost).incrementAndGet());
      Thread.sleep(STREAM_INTERVAL_MILLIS);
    }
  }
}
