import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The reader of the logs of one instance pauses. CONFIG: requests that are unanswered at the
 * timeout of their route are answered within half a second.
 */
final class StalledLogCase {
  private static final long STALL_MILLIS = 20_000;

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
            List.of(Deployment.route("move", "/move/", "non_idempotent", "app")),
            List.of(Deployment.service("app"))));
    Instance instance = deployment.instances.get(0);
    instance.pipeLogs();
    instance.start();
    AtomicBoolean stalled = new AtomicBoolean();
    startReader(instance, stalled);
    if (!instance.awaitReady(30_000)) {
      throw new IOException("not ready within 30 s");
    }
    Traffic traffic = new Traffic(deployment);
    for (int i = 0; i < 20; i++) {
      traffic.start(instance, null, "/move/x", () -> 600, 100);
    }
    Thread.sleep(Deployment.CONTACT_MILLIS + 1_000);
    long from = record.millis();
    stalled.set(deployment.trouble);
    record.line("the reader of the logs %s", deployment.trouble ? "pauses" : "goes on");
    for (long i = 0; i < STALL_MILLIS; i += 2_000) {
      Thread.sleep(2_000);
      record.line("the instance answers readiness checks with %d", instance.readiness());
    }
    long to = record.millis() - Traffic.PATIENCE_MILLIS;
    stalled.set(false);
    record.line("the reader of the logs reads on");
    Thread.sleep(3_000);
    traffic.stop();
    return traffic.answeredAtTimeout(traffic.sentBetween(from, to, "/move/x"), Deployment.TIMEOUT_MILLIS);
  }

  private static void startReader(Instance instance, AtomicBoolean stalled) {
    Thread reader =
        new Thread(
            () -> {
              byte[] buffer = new byte[8_192];
              try (InputStream logs = instance.logs()) {
                while (true) {
                  if (stalled.get()) {
                    Thread.sleep(20);
                  } else if (logs.read(buffer) < 0) {
                    return;
                  }
                }
              } catch (IOException | InterruptedException e) {
                // The process has ended.
              }
            });
    reader.setDaemon(true);
    reader.start();
  }
}
