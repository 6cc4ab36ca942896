import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A model replica leaves, its streams are moved to another one, and the instance has lost the path to that one.
 *
 * <p>Arguments: repository, folder of the case, temporary folder.
 */
final class MovedStream {
  private static final int STREAMS = 6;

  private MovedStream() {}

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

  private static int play(Gateways gateways, Store store, Record record, boolean trouble) throws Exception {
    Replica.Engine engine = new Replica.Engine(250, 60, 3_000, 4, 18_432, 2_700);
    List<Replica> replicas = new ArrayList<>();
    List<Proxy> paths = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Replica replica =
          new Replica("i-" + (char) ('a' + i), "127.0.0.1", i < 2 ? "zone-a" : "zone-b", Deployment.ENGINES, 24, Optional.of(engine), record);
      Proxy path = new Proxy("127.0.0.1", replica.listening(), 0);
      replica.publish(path.address());
      replicas.add(replica);
      paths.add(path);
    }
    long born = System.currentTimeMillis();
    store.put("config", "main", Deployment.desiredState(7));
    store.put("servers", "i-a", replicas.get(0).entry("ready", born));
    Gateways.Instance instance = gateways.prepare("edge-1", "zone-a", true);
    gateways.start(instance);
    if (!gateways.awaitReady(instance, 30)) {
      record.line("the instance is not ready");
      return 2;
    }
    Thread.sleep(3_500);
    List<CompletableFuture<Consumer.Answer>> answers = new ArrayList<>();
    for (int i = 1; i <= STREAMS; i++) {
      answers.add(
          Consumer.send(instance.frontend, "stream-" + i, Deployment.STREAMS + i, Deployment.HOST, Deployment.KEY, 39_000,
              "X-Basilport-Model: m\r\nX-Basilport-Token-Count: 3000,480\r\nX-Basilport-Prompt-Prefix: 5c1e07a2:40,91bd3f0" + i + ":2960\r\n",
              record));
      Thread.sleep(100);
    }
    Thread.sleep(600);
    store.put("servers", "i-b", replicas.get(1).entry("ready", born));
    store.put("servers", "i-c", replicas.get(2).entry("ready", born));
    record.line("replicas i-b and i-c register");
    Thread.sleep(1_000);
    if (trouble) {
      record.line("the path from edge-1 to i-b is cut; i-a still reaches i-b");
      paths.get(1).cut();
    }
    Thread.sleep(500);
    record.line("replica i-a reports draining");
    store.put("servers", "i-a", replicas.get(0).entry("draining", born));
    boolean known = true;
    for (CompletableFuture<Consumer.Answer> answer : answers) {
      Consumer.Answer ended = answer.get(60, TimeUnit.SECONDS);
      known &= ended.status() != 0;
    }
    boolean broken = false;
    for (Map.Entry<String, Integer> runs : record.allRuns().entrySet()) {
      if (runs.getValue() > 1) {
        broken = true;
        record.line("TWICE: request " + runs.getKey() + " of a route that is not resumable ran " + runs.getValue() + " times");
      }
    }
    if (!broken && (!known || record.allRuns().size() < STREAMS)) {
      record.line("not all requests were served");
      return 2;
    }
    return broken ? 1 : 0;
  }
}
