import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Sound replica of an application service; registers itself and counts the runs of each request. */
final class AppReplica {
  final String id;
  final String service;
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

  /** Time of the record at which each request began to run, by its id. */
  final Map<String, Long> runTimes = new ConcurrentHashMap<>();

  /** Target of each request as it arrived, one character for each byte, by the id. */
  final Map<String, String> targets = new ConcurrentHashMap<>();

  private final String ip;
  private final ServerSocket listener;
  private final PlatformStore store;
  private final Record record;
  private final long workMillis;
  private final long born = System.currentTimeMillis();
  private long sequence;
  private final Random random = new Random();
  private volatile double garbledShare;
  private volatile boolean draining;
  private volatile boolean stopped;

  AppReplica(
      PlatformStore store, Record record, String ip, String id, String service, long workMillis)
      throws IOException {
    this.store = store;
    this.record = record;
    this.ip = ip;
    this.id = id;
    this.service = service;
    this.workMillis = workMillis;
    this.listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
    start(this::accept);
    start(this::heartbeat);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "replica");
    thread.setDaemon(true);
    thread.start();
  }

  private void heartbeat() {
    while (!stopped) {
      register();
      try {
        Thread.sleep(1_200);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Reports that this replica leaves; returns when the store has accepted it. */
  void drain() {
    draining = true;
    register();
    record.line("draining %s confirmed", id);
  }

  /** Whether no request reached this replica later than the limit after its report was confirmed. */
  boolean notReachedAfter(long confirmedAtMillis, long limitMillis) {
    List<Long> late =
        runTimes.values().stream()
            .map(at -> at - confirmedAtMillis)
            .filter(after -> after > limitMillis)
            .sorted()
            .toList();
    record.line(
        "requests that reached %s later than %d ms after the confirmation: %d, latest after %d ms",
        id, limitMillis, late.size(), late.isEmpty() ? 0 : late.get(late.size() - 1));
    return late.isEmpty();
  }

  private synchronized void register() {
      ObjectNode spec = Json.MAPPER.createObjectNode();
      spec.put("service", service)
          .put("address", ip + ":" + listener.getLocalPort())
          .put("zone", "zone-a")
          .put("version", "v1")
          .put("slots", 24)
          .put("state", draining ? "draining" : "ready")
          .put("cold_remaining_ms", 0)
          .put("born", born)
          .put("sequence", ++sequence);
      store.put("servers", id, spec);
  }

  void stop() throws IOException {
    stopped = true;
    listener.close();
  }

  private void accept() {
    while (!stopped) {
      try {
        Socket socket = listener.accept();
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
      OutputStream out = socket.getOutputStream();
      for (HttpMessage request = HttpMessage.read(in);
          request != null;
          request = HttpMessage.read(in)) {
        byte[] answer = answer(request);
        if (garbles()) {
          out.write(garbled(request, answer));
          return;
        }
        out.write(answer);
      }
    } catch (IOException e) {
      // The caller has closed its connection.
    }
  }

  /**
   * From now on breaks off a share of the answers within their bodies, begins a second answer
   * there, breaks that off too and closes the channel.
   */
  void garble(double share) {
    garbledShare = share;
  }

  private boolean garbles() {
    synchronized (random) {
      return random.nextDouble() < garbledShare;
    }
  }

  /** Where either answer breaks off is drawn independently, within the length of the body. */
  private byte[] garbled(HttpMessage request, byte[] answer) {
    String id = request.headers().get("X-Basilport-Attempt-Id");
    int bodyLength = body(id).length;
    int missing;
    int begun;
    synchronized (random) {
      missing = 1 + random.nextInt(bodyLength);
      begun = 1 + random.nextInt(bodyLength);
    }
    record.line("%s breaks off %s: %d bytes missing, %d of a second answer", this.id, id, missing, begun);
    byte[] second =
        "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII);
    byte[] bytes = Arrays.copyOf(answer, answer.length - missing + begun);
    System.arraycopy(second, 0, bytes, answer.length - missing, begun);
    return bytes;
  }

  /** Body of the answer to a request. */
  static byte[] body(String attempt) {
    return ("done " + attempt).getBytes(StandardCharsets.US_ASCII);
  }

  private byte[] answer(HttpMessage request) {
    String attempt = request.headers().getOrDefault("X-Basilport-Attempt-Id", "");
    if (request.startLine().startsWith("GET /health")) {
      return head(200, "X-Basilport-Replica-Id: " + id, 0);
    }
    if (!id.equals(request.headers().getOrDefault("X-Basilport-Expect-Replica", id))) {
      return head(421, "X-Basilport-Replica-Id: " + id, 0);
    }
    int run = runs.computeIfAbsent(attempt, key -> new AtomicInteger()).incrementAndGet();
    runTimes.put(attempt, record.millis());
    targets.put(attempt, request.startLine().split(" ")[1]);
    record.line("run %s at %s, run %d, body %d", attempt, id, run, request.body().length);
    try {
      Thread.sleep(workMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    byte[] body = body(attempt);
    byte[] head =
        head(
            200,
            "X-Basilport-Attempt-Id: " + attempt + "\r\nX-Basilport-Replica-Seal: seal-" + attempt
                + "\r\nKeep-Alive: timeout=30",
            body.length);
    byte[] answer = new byte[head.length + body.length];
    System.arraycopy(head, 0, answer, 0, head.length);
    System.arraycopy(body, 0, answer, head.length, body.length);
    return answer;
  }

  private static byte[] head(int status, String headers, int length) {
    return ("HTTP/1.1 " + status + " -\r\n" + headers + "\r\nContent-Length: " + length + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }
}
