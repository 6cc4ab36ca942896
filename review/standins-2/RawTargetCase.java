import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * Consumers send paths and queries with letters beyond ASCII, as UTF-8 without an escape. UNASKED:
 * the replica runs no request whose path or query was changed.
 */
final class RawTargetCase {
  public static void main(String[] arguments) throws Exception {
    Deployment deployment = new Deployment(Path.of(arguments[0]), 2);
    Deployment.exit(deployment, () -> held(deployment));
  }

  private static boolean held(Deployment deployment) throws Exception {
    Record record = deployment.record;
    AppReplica replica =
        new AppReplica(deployment.store, record, Addresses.ip(101), "i-a1", "app", 20);
    deployment.configure(
        Deployment.desiredState(
            1,
            List.of(Deployment.route("move", "/move/", "non_idempotent", "app")),
            List.of(Deployment.service("app"))));
    deployment.startAll();
    Thread.sleep(Deployment.CONTACT_MILLIS);
    String name = deployment.trouble ? bytes("bogot\u00e1") : "bogota";
    int changed = 0;
    for (int i = 0; i < 20; i++) {
      String id = deployment.nextId();
      String target = i % 2 == 0 ? "/move/" + name : "/move/x?place=" + name;
      try (Caller caller = new Caller(deployment.instances.get(i % 2), Traffic.PATIENCE_MILLIS)) {
        HttpMessage answer =
            caller.call("POST", target, id, Deployment.KEY, Traffic.PATIENCE_MILLIS, new byte[10]);
        String ran = replica.targets.get(id);
        record.line(
            "request %s sent %s, answered %s, run as %s",
            id, hex(target), answer == null ? "not" : answer.startLine(), ran == null ? "-" : hex(ran));
        changed += ran != null && !ran.equals(target) ? 1 : 0;
      }
    }
    record.line("%d of 20 requests ran with another path or query", changed);
    return changed == 0;
  }

  /** The UTF-8 bytes of a text, one character for each. */
  private static String bytes(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  private static String hex(String target) {
    StringBuilder text = new StringBuilder();
    for (char next : target.toCharArray()) {
      text.append(next < 128 ? String.valueOf(next) : String.format("\\x%02x", (int) next));
    }
    return text.toString();
  }
}
