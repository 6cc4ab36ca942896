import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The replicas of a service lose the path to the store one after the other, serve on, and report there again. Then a
 * route to the service is added.
 *
 * <p>Arguments: repository, folder of the case, temporary folder.
 */
final class ReturnedReplicas {
  private static final String ADDED = "/added/";
  private static final int CUT_MILLIS = 5_000;

  /** Three liveness reports, after which the entry of a silent replica is removed. */
  private static final int EXPIRY_MILLIS = 3_600;

  private static final int REQUESTS = 30;

  private ReturnedReplicas() {}

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
    long born = System.currentTimeMillis();
    Replica.Engine engine = new Replica.Engine(60, 20, 800, 4, 18_432, 2_700);
    Replica model = new Replica("i-m", "127.0.0.1", "zone-a", Deployment.ENGINES, 24, Optional.of(engine), record);
    store.put("servers", model.id(), model.entry("ready", born));
    List<Replica> replicas = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Replica replica = new Replica("i-" + (char) ('a' + i), "127.0.0.1", "zone-a", Deployment.APPLICATION, 6, Optional.empty(), record);
      replicas.add(replica);
      store.put("servers", replica.id(), replica.entry("ready", born));
    }
    store.put("config", "main", Deployment.desiredState(7));
    Gateways.Instance instance = gateways.prepare("edge-1", "zone-a", true);
    gateways.start(instance);
    if (!gateways.awaitReady(instance, 30)) {
      record.line("the instance is not ready");
      return 2;
    }
    Thread.sleep(3_500);
    int before = served(instance, Deployment.MOVES, "before", record);
    if (trouble) {
      for (Replica replica : replicas) {
        record.line("replica " + replica.id() + " loses the path to the store");
        Thread.sleep(EXPIRY_MILLIS);
        store.delete("servers", replica.id());
        record.line("the store removes the entry of " + replica.id());
        Thread.sleep(CUT_MILLIS - EXPIRY_MILLIS);
        store.put("servers", replica.id(), replica.entry("ready", born));
        record.line("replica " + replica.id() + " reaches the store again and reports ready");
        Thread.sleep(1_000);
      }
    }
    Thread.sleep(4_000);
    ObjectNode state = Deployment.desiredState(9);
    ObjectNode added = state.path("routes").get(2).deepCopy();
    state.withArray("routes").add(added.put("name", "added").put("path_prefix", ADDED));
    store.put("config", "main", state);
    record.line("a route to the service is added");
    Thread.sleep(4_000);
    int onAdded = served(instance, ADDED, "added", record);
    int onFirst = served(instance, Deployment.STREAMS, "stream", record) + served(instance, Deployment.MOVES, "move", record);
    record.line("served before: " + before + " of " + REQUESTS + "; in steady state on the added route: " + onAdded + " of " + REQUESTS
            + "; on the first routes: " + onFirst + " of " + 2 * REQUESTS);
    if (before < REQUESTS / 2 || onFirst == 0) {
      return 2;
    }
    return (double) onAdded / REQUESTS < 0.25 * onFirst / (2 * REQUESTS) ? 1 : 0;
  }

  /** Sends requests on a route, one after the other; returns how many were served. */
  private static int served(Gateways.Instance instance, String path, String name, Record record) throws Exception {
    int served = 0;
    for (int i = 1; i <= REQUESTS; i++) {
      String size =
          path.equals(Deployment.STREAMS)
              ? "X-Basilport-Model: m\r\nX-Basilport-Token-Count: 800,12\r\nX-Basilport-Prompt-Prefix: 5c1e07a2:40,91bd3f06:760\r\n"
              : "";
      Consumer.Answer answer =
          Consumer.send(instance.frontend, name + "-" + i, path + i, Deployment.HOST, Deployment.KEY, 2_500, size, record).get();
      served += answer.status() == 200 && answer.complete() ? 1 : 0;
    }
    return served;
  }
}
