import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Consumers with kept channels send one body each within max_body_bytes, one consumer after the
 * other, and then small requests only. CONFIG: requests that are unanswered at the timeout of their
 * route are answered within half a second. Only the small requests are judged.
 */
final class LargeBodiesCase {
  private static final int MAX_BODY_BYTES = 4_194_304;
  private static final int MIN_BODY_BYTES = 8_192;
  private static final int CONSUMERS_WITH_MAX_BODY = 18;
  private static final int CONSUMERS_WITH_EACH_OTHER_BODY = 12;
  private static final int SMALL_BODY_BYTES = 600;
  private static final long BODIES_MILLIS = 30_000;
  private static final long SMALL_REQUESTS_MILLIS = 20_000;

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 1);
    Deployment.exit(deployment, () -> held(deployment));
  }

  private static boolean held(Deployment deployment) throws Exception {
    Record record = deployment.record;
    new AppReplica(deployment.store, record, Addresses.ip(101), "i-a1", "app", 20);
    new AppReplica(deployment.store, record, Addresses.ip(102), "i-a2", "app", 20);
    deployment.configure(
        Deployment.desiredState(
            1,
            List.of(
                Deployment.route("move", "/move/", "non_idempotent", "app"),
                Deployment.route("file", "/file/", "non_idempotent", "app")),
            List.of(Deployment.service("app"))));
    deployment.startAll();
    Thread.sleep(Deployment.CONTACT_MILLIS);
    Instance instance = deployment.instances.get(0);
    Traffic traffic = new Traffic(deployment);
    List<Caller> kept = sendBodies(deployment, instance, traffic);
    record.line("no further large bodies, %d channels kept", kept.size());
    long from = record.millis();
    for (Caller caller : kept) {
      traffic.start(instance, caller, "/move/x", () -> SMALL_BODY_BYTES, 300);
    }
    while (record.millis() < from + SMALL_REQUESTS_MILLIS) {
      Thread.sleep(2_000);
      record.line("the instance answers readiness checks with %d", instance.readiness());
    }
    long to = record.millis() - Traffic.PATIENCE_MILLIS;
    traffic.stop();
    return traffic.answeredAtTimeout(
        traffic.sentBetween(from, to, "/move/x"), Deployment.TIMEOUT_MILLIS);
  }

  /** The consumers whose bodies were answered keep their channels. */
  private static List<Caller> sendBodies(
      Deployment deployment, Instance instance, Traffic traffic) throws Exception {
    List<Caller> kept = new ArrayList<>();
    long end = deployment.record.millis() + BODIES_MILLIS;
    for (int size = MAX_BODY_BYTES; size >= MIN_BODY_BYTES; size /= 2) {
      int consumers =
          size == MAX_BODY_BYTES ? CONSUMERS_WITH_MAX_BODY : CONSUMERS_WITH_EACH_OTHER_BODY;
      for (int i = 0; i < consumers && deployment.record.millis() < end; i++) {
        byte[] body = new byte[deployment.trouble ? size : SMALL_BODY_BYTES];
        Caller caller = new Caller(instance, Traffic.PATIENCE_MILLIS);
        if (traffic.call(caller, "/file/x", body)) {
          kept.add(caller);
        } else {
          caller.close();
        }
      }
    }
    return kept;
  }
}
