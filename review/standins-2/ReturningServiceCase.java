import java.nio.file.Path;
import java.util.List;

/**
 * A desired state drops a service with its route, and a later one has both again. CONFIG: requests
 * on routes that were added later are served at least a quarter as often as those on the first
 * ones.
 */
final class ReturningServiceCase {
  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 3);
    Deployment.exit(deployment, () -> held(deployment));
  }

  private static boolean held(Deployment deployment) throws Exception {
    Record record = deployment.record;
    new AppReplica(deployment.store, record, Addresses.ip(101), "i-a1", "app", 20);
    new AppReplica(deployment.store, record, Addresses.ip(102), "i-b1", "history", 20);
    new AppReplica(deployment.store, record, Addresses.ip(103), "i-b2", "history", 20);
    String first = Deployment.route("move", "/move/", "non_idempotent", "app");
    String second = Deployment.route("look", "/look/", "idempotent", "history");
    String later = Deployment.route("look-2", "/look-2/", "idempotent", "history");
    String app = Deployment.service("app");
    String history = Deployment.service("history");
    deployment.configure(
        Deployment.desiredState(1, List.of(first, second), List.of(app, history)));
    deployment.startAll();
    Thread.sleep(Deployment.CONTACT_MILLIS);
    deployment.configure(
        deployment.trouble
            ? Deployment.desiredState(3, List.of(first), List.of(app))
            : Deployment.desiredState(3, List.of(first), List.of(app, history)));
    Thread.sleep(10_000);
    deployment.configure(Deployment.desiredState(5, List.of(first, later), List.of(app, history)));
    // Twice config_apply_ms, and contact_ms without a change.
    Thread.sleep(5_000);
    long from = record.millis();
    Traffic traffic = new Traffic(deployment);
    for (Instance instance : deployment.instances) {
      traffic.start(instance, null, "/move/x", () -> 600, 500);
      traffic.start(instance, null, "/look-2/x", () -> 0, 500);
    }
    Thread.sleep(45_000);
    traffic.stop();
    double firstShare = servedShare(deployment, traffic, from, "/move/x");
    double laterShare = servedShare(deployment, traffic, from, "/look-2/x");
    return laterShare >= firstShare / 4;
  }

  private static double servedShare(
      Deployment deployment, Traffic traffic, long from, String path) {
    List<Traffic.Call> calls = traffic.sentBetween(from, Long.MAX_VALUE, path);
    long served = calls.stream().filter(call -> call.status() == 200).count();
    deployment.record.line("%s: %d requests, %d served", path, calls.size(), served);
    if (calls.size() < 20) {
      throw new IllegalStateException("fewer than 20 requests on " + path);
    }
    return (double) served / calls.size();
  }
}
