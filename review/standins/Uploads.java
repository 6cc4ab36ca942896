import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Two of three instances are lost while consumers upload bodies within the limit of the desired state; the consumers
 * go on at the third one.
 *
 * <p>Arguments: repository, folder of the case, temporary folder.
 */
final class Uploads {
  /** Uploads at each instance; together they use a tenth of a link of 1,000 Mbit/s. */
  private static final int UPLOADS = 10;

  /** Below max_body_bytes, which is 4,194,304. */
  private static final int BODY_BYTES = 4_000_000;

  private static final int PARTS = 25;
  private static final int PART_PAUSE_MILLIS = 100;

  /** Consumers of small calls at the instance that stays. */
  private static final int CALLERS = 16;

  private static final int TIMEOUT_MILLIS = 1_200;
  private static final int DEADLINE_MILLIS = 2_500;

  /** A request that was sent whole to the instance that stays; end 0 means that it had none within its time limit. */
  private record Sent(String id, long sentNanos, long endNanos, String outcome) {}

  private static final ConcurrentLinkedQueue<Sent> SENT = new ConcurrentLinkedQueue<>();

  private Uploads() {}

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
    for (int i = 0; i < 6; i++) {
      Replica replica = new Replica("i-" + (char) ('a' + i), "127.0.0.1", "zone-a", Deployment.APPLICATION, 6, Optional.empty(), record);
      replica.workMillis = 40;
      store.put("servers", replica.id(), replica.entry("ready", System.currentTimeMillis()));
    }
    store.put("config", "main", Deployment.desiredState(7));
    List<Gateways.Instance> instances = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      instances.add(gateways.prepare("edge-" + i, "zone-a", true));
    }
    for (Gateways.Instance instance : instances) {
      gateways.start(instance);
    }
    for (Gateways.Instance instance : instances) {
      if (!gateways.awaitReady(instance, 40)) {
        record.line(instance.name + " is not ready");
        return 2;
      }
    }
    Thread.sleep(4_000);
    Gateways.Instance stays = instances.get(0);
    long end = System.nanoTime() + 9_000_000_000L;
    List<Thread> consumers = new ArrayList<>();
    for (int i = 1; i <= CALLERS; i++) {
      int caller = i;
      consumers.add(Threads.start("caller", () -> calls(stays, caller, end, record)));
    }
    Thread.sleep(2_000);
    for (Gateways.Instance instance : instances) {
      for (int i = 1; i <= UPLOADS; i++) {
        String id = "upload-" + instance.name + "-" + i;
        consumers.add(Threads.start("upload", () -> upload(instance, stays, id, record)));
      }
    }
    Thread.sleep(300);
    if (trouble) {
      gateways.signal(instances.get(1), "KILL");
      gateways.signal(instances.get(2), "KILL");
    }
    for (Thread consumer : consumers) {
      consumer.join(20_000);
    }
    return judge(record, stays);
  }

  /** Sends small calls on a kept channel, one after the other. */
  private static void calls(Gateways.Instance instance, int caller, long end, Record record) throws Exception {
    Socket socket = null;
    for (int i = 1; System.nanoTime() < end; i++) {
      String id = "call-" + caller + "-" + i;
      if (socket == null) {
        socket = connect(instance);
      }
      socket.getOutputStream().write(head(id, 12));
      socket.getOutputStream().write("{\"box\": \"b\"}".getBytes(StandardCharsets.US_ASCII));
      if (!await(socket, id, record, false)) {
        socket.close();
        socket = null;
      }
      Thread.sleep(100);
    }
  }

  private static void upload(Gateways.Instance first, Gateways.Instance stays, String id, Record record) throws Exception {
    if (!send(first, id, record, first == stays) && first != stays) {
      record.line(id + " was cut before it was sent whole; its consumer goes to " + stays.name);
      send(stays, id + "-again", record, true);
    }
  }

  /** Uploads a body at a steady rate; returns false if the channel was closed before the whole body was sent. */
  private static boolean send(Gateways.Instance instance, String id, Record record, boolean counted) throws Exception {
    byte[] part = new byte[BODY_BYTES / PARTS];
    Arrays.fill(part, (byte) 'x');
    try (Socket socket = connect(instance)) {
      try {
        OutputStream out = socket.getOutputStream();
        out.write(head(id, BODY_BYTES));
        for (int i = 0; i < PARTS; i++) {
          out.write(part);
          Thread.sleep(PART_PAUSE_MILLIS);
        }
      } catch (IOException e) {
        record.line("request " + id + " is cut while it is sent");
        return false;
      }
      record.line("request " + id + " is sent whole to " + instance.name);
      await(socket, id, record, !counted);
      return true;
    }
  }

  private static Socket connect(Gateways.Instance instance) throws IOException {
    Socket socket = new Socket();
    socket.connect(instance.frontend, 1_000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static byte[] head(String id, int length) {
    return ("POST " + Deployment.MOVES + "x HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Basilport-Attempt-Id: " + id
            + "\r\nX-Basilport-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nX-Basilport-Key: " + Deployment.KEY + "\r\nContent-Length: " + length
            + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  /** Waits for the answer to a request that was sent whole; returns whether the channel can be kept. */
  private static boolean await(Socket socket, String id, Record record, boolean elsewhere) throws IOException {
    long sent = System.nanoTime();
    String outcome;
    boolean kept = false;
    long ended = 0;
    try {
      socket.setSoTimeout(DEADLINE_MILLIS);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Optional<Wire.Head> head = Wire.readHead(in);
      if (head.isPresent()) {
        Wire.readBody(in, head.get());
        kept = !head.get().closes();
      }
      ended = System.nanoTime();
      outcome = head.map(answer -> "answered " + answer.status()).orElse("closed without an answer");
    } catch (java.net.SocketTimeoutException e) {
      outcome = "not answered within its time limit";
    } catch (IOException e) {
      ended = System.nanoTime();
      outcome = "reset without an answer";
    }
    record.line("request " + id + " is " + outcome + " after " + (System.nanoTime() - sent) / 1_000_000 + " ms");
    if (!elsewhere) {
      SENT.add(new Sent(id, sent, ended, outcome));
    }
    return kept;
  }

  private static int judge(Record record, Gateways.Instance stays) {
    int unanswered = 0;
    int overdue = 0;
    int answered = 0;
    for (Sent sent : SENT) {
      double millis = sent.endNanos == 0 ? Double.POSITIVE_INFINITY : (sent.endNanos - sent.sentNanos) / 1e6;
      unanswered += millis > TIMEOUT_MILLIS ? 1 : 0;
      overdue += millis > TIMEOUT_MILLIS + 500 ? 1 : 0;
      answered += sent.outcome.startsWith("answered 2") ? 1 : 0;
    }
    record.line("requests at " + stays.name + ": " + SENT.size() + ", served " + answered + ", unanswered at timeout_ms " + unanswered
            + ", of these still unanswered half a second later " + overdue + "; process alive: " + stays.process.isAlive());
    if (SENT.size() < 50 || answered == 0) {
      record.line("too few requests were sent or served");
      return 2;
    }
    return overdue >= 8 && 2 * overdue > unanswered ? 1 : 0;
  }
}
