import java.nio.file.Path;
import java.util.List;

/**
 * One of two replicas breaks off some of its answers, begins a second answer to the same request
 * and breaks that off too. MIXED: no consumer gets a success with a body that is not the replica's.
 */
final class BrokenOffAnswersCase {
  private static final double GARBLED_SHARE = 0.03;
  private static final long LENGTH_MILLIS = 60_000;

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 2);
    Deployment.exit(deployment, () -> held(deployment));
  }

  private static boolean held(Deployment deployment) throws Exception {
    Record record = deployment.record;
    AppReplica faulty =
        new AppReplica(deployment.store, record, Addresses.ip(101), "i-a1", "app", 20);
    new AppReplica(deployment.store, record, Addresses.ip(102), "i-a2", "app", 20);
    deployment.configure(
        Deployment.desiredState(
            1,
            List.of(Deployment.route("move", "/move/", "non_idempotent", "app")),
            List.of(Deployment.service("app"))));
    deployment.startAll();
    Thread.sleep(Deployment.CONTACT_MILLIS);
    faulty.garble(deployment.trouble ? GARBLED_SHARE : 0);
    Traffic traffic = new Traffic(deployment);
    for (int i = 0; i < 30; i++) {
      traffic.start(deployment.instances.get(i % 2), null, "/move/x", () -> 600, 80);
    }
    Thread.sleep(LENGTH_MILLIS);
    traffic.stop();
    List<Traffic.Call> calls = traffic.sentBetween(0, Long.MAX_VALUE, "/move/x");
    long successes = calls.stream().filter(call -> call.status() == 200).count();
    long mixed = calls.stream().filter(call -> !call.whole()).count();
    record.line("%d requests, %d successes, %d with a wrong body", calls.size(), successes, mixed);
    return mixed == 0;
  }
}
