import java.nio.file.Path;
import java.util.List;

/**
 * Another writer puts one entry under the kind of the replicas whose text is not UTF-8; then a
 * replica drains. DRAIN: no request reaches it later than drain_ms after the confirmation.
 */
final class UnreadableEntryCase {
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
    String zone = "Bogot" + (deployment.trouble ? PlatformStore.LATIN_1_A_ACUTE : "a");
    deployment.store.put("servers", "odd", Json.MAPPER.createObjectNode().put("zone", zone));
    record.line("entry of another writer, zone %s", zone);
    Thread.sleep(6_000);
    leaving.drain();
    long confirmedAt = record.millis();
    Thread.sleep(12_000);
    traffic.stop();
    return leaving.notReachedAfter(confirmedAt, DRAIN_MILLIS);
  }
}
