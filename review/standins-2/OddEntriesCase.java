import java.nio.file.Path;
import java.util.List;

/**
 * Another writer puts entries of the largest permitted size under the kind of the replicas; then a
 * replica drains. DRAIN: no request reaches it later than drain_ms after the confirmation.
 */
final class OddEntriesCase {
  private static final int ENTRIES = 6;
  private static final long DRAIN_MILLIS = 2_000;

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 3);
    Deployment.exit(deployment, () -> held(deployment));
  }

  private static boolean held(Deployment deployment) throws Exception {
    Record record = deployment.record;
    AppReplica leaving =
        new AppReplica(deployment.store, record, Addresses.ip(101), "i-a1", "app", 20);
    new AppReplica(deployment.store, record, Addresses.ip(102), "i-a2", "app", 20);
    new AppReplica(deployment.store, record, Addresses.ip(103), "i-a3", "app", 20);
    deployment.configure(
        Deployment.desiredState(
            1,
            List.of(Deployment.route("move", "/move/", "non_idempotent", "app")),
            List.of(Deployment.service("app"))));
    deployment.startAll();
    Traffic traffic = new Traffic(deployment);
    for (int i = 0; i < 12; i++) {
      traffic.start(deployment.instances.get(i % 3), null, "/move/x", () -> 600, 200);
    }
    Thread.sleep(3_000);
    // A field of another type: a list of objects where the name of the service is expected.
    String spec = "{\"service\":[" + "{},".repeat(deployment.trouble ? 340_000 : 3) + "{}]}";
    for (int i = 0; i < ENTRIES; i++) {
      deployment.store.put("servers", "odd-" + i, Json.MAPPER.readTree(spec));
      record.line("odd entry %d of %d bytes written", i, spec.length());
      Thread.sleep(500);
    }
    Thread.sleep(6_000);
    leaving.drain();
    long confirmedAt = record.millis();
    Thread.sleep(12_000);
    traffic.stop();
    return leaving.notReachedAfter(confirmedAt, DRAIN_MILLIS);
  }
}
