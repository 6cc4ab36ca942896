import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Model replicas are replaced one after the other while short streams are served, and the settings file of the
 * machine changes.
 *
 * <p>Arguments: repository, folder of the case, temporary folder.
 */
final class FinishedDuringMove {
  private static final int REPLICAS = 3;

  /** One replica at a time, a second apart. */
  private static final int REPLACEMENTS = 80;

  private static final int REPLACEMENT_INTERVAL_MILLIS = 1_000;
  private static final int STREAM_INTERVAL_MILLIS = 30;

  /** A request sent up to config_apply_ms (2,000) after a SIGHUP counts. */
  private static final int SIGNAL_INTERVAL_MILLIS = 1_800;

  /** Time that a replica serves on after it has reported draining: drain_ms and a little. */
  private static final int LEAVE_MILLIS = 2_300;

  /** One-way delay to the replicas; the pages have 1.4 ms between zones. */
  private static final int DELAY_MILLIS = 2;

  private static final long BORN = System.currentTimeMillis();

  private static volatile boolean stopped;

  private FinishedDuringMove() {}

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

  private static Replica boot(int number, Store store, Record record) throws Exception {
    Replica.Engine engine = new Replica.Engine(50, 60, 800, 4, 18_432, 2_700);
    Replica replica = new Replica("i-" + number, "127.0.0.1", "zone-b", Deployment.ENGINES, 24, Optional.of(engine), record);
    replica.publish(new Proxy("127.0.0.1", replica.listening(), DELAY_MILLIS).address());
    store.put("servers", replica.id(), replica.entry("ready", BORN));
    return replica;
  }

  private static int play(Gateways gateways, Store store, Record record, boolean trouble) throws Exception {
    store.put("config", "main", Deployment.desiredState(7));
    ArrayDeque<Replica> serving = new ArrayDeque<>();
    for (int i = 0; i < REPLICAS; i++) {
      serving.add(boot(i, store, record));
    }
    Gateways.Instance instance = gateways.prepare("edge-1", "zone-a", true);
    gateways.start(instance);
    if (!gateways.awaitReady(instance, 30)) {
      record.line("the instance is not ready");
      return 2;
    }
    Thread.sleep(4_000);
    Map<String, CompletableFuture<Consumer.Answer>> answers = new LinkedHashMap<>();
    Thread streams = Threads.start("streams", () -> streams(instance, answers, record));
    Threads.start(
        "signals",
        () -> {
          while (!stopped) {
            gateways.signal(instance, "HUP");
            Thread.sleep(SIGNAL_INTERVAL_MILLIS);
          }
        });
    Thread.sleep(2_000);
    for (int i = REPLICAS; i < REPLICAS + REPLACEMENTS; i++) {
      if (trouble) {
        serving.add(boot(i, store, record));
        Replica leaving = serving.remove();
        record.line("replica " + leaving.id() + " reports draining");
        store.put("servers", leaving.id(), leaving.entry("draining", BORN));
        Threads.start(
            "leave",
            () -> {
              Thread.sleep(LEAVE_MILLIS);
              store.delete("servers", leaving.id());
            });
      }
      Thread.sleep(REPLACEMENT_INTERVAL_MILLIS);
    }
    stopped = true;
    streams.join();
    return judge(answers, record);
  }

  private static void streams(Gateways.Instance instance, Map<String, CompletableFuture<Consumer.Answer>> answers, Record record)
      throws Exception {
    Random random = new Random();
    for (int i = 1; !stopped; i++) {
      String id = "stream-" + i;
      int tokens = 40 + 4 * random.nextInt(16);
      answers.put(
          id,
          Consumer.send(instance.frontend, id, Deployment.STREAMS + id, Deployment.HOST, Deployment.KEY, 20_000,
              "X-Basilport-Model: m\r\nX-Basilport-Token-Count: 800," + tokens + "\r\nX-Basilport-Prompt-Prefix: 5c1e07a2:40,"
                  + Integer.toHexString(4_096 + i) + ":760\r\n",
              record));
      Thread.sleep(STREAM_INTERVAL_MILLIS);
    }
  }

  private static int judge(Map<String, CompletableFuture<Consumer.Answer>> answers, Record record) throws Exception {
    int served = 0;
    int cut = 0;
    for (Map.Entry<String, CompletableFuture<Consumer.Answer>> sent : answers.entrySet()) {
      Consumer.Answer answer = sent.getValue().get(30, TimeUnit.SECONDS);
      served += answer.complete() && answer.status() == 200 ? 1 : 0;
      if (!answer.complete() && record.completed(sent.getKey())) {
        cut++;
        record.line("LOST: " + sent.getKey() + " was answered whole by its replica, and its channel ended without the complete answer");
      }
    }
    record.line("streams served " + served + " of " + answers.size() + ", cut though their replica had answered whole: " + cut);
    return served < answers.size() / 2 ? 2 : cut > 0 ? 1 : 0;
  }
}
