import java.nio.file.Path;
import java.util.List;

/**
 * The settings files of two machines change three times while their processes start. Fault: no
 * process ends by itself three times on a tenth of the machines, two at least.
 */
final class SettingsChangeCase {
  private static final long CHANGE_AFTER_MILLIS = 150;
  private static final long RESTART_DELAY_MILLIS = 500;

  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 2);
    Deployment.exit(deployment, () -> held(deployment));
  }

  private static boolean held(Deployment deployment) throws Exception {
    Record record = deployment.record;
    new AppReplica(deployment.store, record, Addresses.ip(101), "i-a1", "app", 20);
    deployment.configure(
        Deployment.desiredState(
            1,
            List.of(Deployment.route("move", "/move/", "non_idempotent", "app")),
            List.of(Deployment.service("app"))));
    int[] ends = new int[deployment.instances.size()];
    for (Instance instance : deployment.instances) {
      instance.start();
      record.line("started %s", instance.name);
    }
    for (int change = 1; change <= 3; change++) {
      Thread.sleep(CHANGE_AFTER_MILLIS);
      for (Instance instance : deployment.instances) {
        if (deployment.trouble) {
          instance.changeSettings();
          instance.signal("HUP");
          record.line("settings of %s changed, SIGHUP sent", instance.name);
        }
      }
      Thread.sleep(RESTART_DELAY_MILLIS);
      for (int i = 0; i < ends.length; i++) {
        Instance instance = deployment.instances.get(i);
        if (!instance.alive()) {
          ends[i]++;
          record.line("%s ended by itself with %d", instance.name, instance.exitCode());
          instance.start();
          record.line("started %s again", instance.name);
        }
      }
    }
    for (Instance instance : deployment.instances) {
      record.line("%s ready without further changes: %b", instance.name, instance.awaitReady(30_000));
    }
    long machines = 0;
    for (int i = 0; i < ends.length; i++) {
      record.line("%s ended by itself %d times", deployment.instances.get(i).name, ends[i]);
      machines += ends[i] >= 3 ? 1 : 0;
    }
    return machines < 2;
  }
}
