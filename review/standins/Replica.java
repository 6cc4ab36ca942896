import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a replica. It serves calls, and as a model replica streams whose memory can be moved to another one.
 */
final class Replica {
  private static final AtomicInteger HANDLES = new AtomicInteger();
  private static final Map<String, Replica> BY_ADDRESS = new ConcurrentHashMap<>();

  /** Runs whose memory a handle names, by handle. */
  private static final Map<String, Run> HANDLE_RUNS = new ConcurrentHashMap<>();

  /** What a model replica does; times in milliseconds. */
  record Engine(int prefillMillis, int eventMillis, int promptTokens, int tokensPerEvent, int tokenBytes, double linkMegabits) {}

  private final String id;
  private final String zone;
  private final String service;
  private final int slots;
  private final Optional<Engine> engine;
  private final Record record;
  private final ServerSocket listener = new ServerSocket();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Map<String, Run> runs = new ConcurrentHashMap<>();
  private final Object link = new Object();
  private volatile String address;
  volatile int workMillis = 20;

  /** Path of a request that crashes each replica that begins to run it; nobody is told of a crash otherwise. */
  volatile Optional<String> crashingPath = Optional.empty();

  volatile Runnable onCrash = () -> {};

  Replica(String id, String host, String zone, String service, int slots, Optional<Engine> engine, Record record)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.service = service;
    this.slots = slots;
    this.engine = engine;
    this.record = record;
    listener.bind(new InetSocketAddress(host, 0), 256);
    publish((InetSocketAddress) listener.getLocalSocketAddress());
    Threads.start("replica " + id, this::accept);
  }

  InetSocketAddress listening() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Sets the address at which the replica is reached. */
  void publish(InetSocketAddress reachedAt) {
    address = reachedAt.getAddress().getHostAddress() + ":" + reachedAt.getPort();
    BY_ADDRESS.put(address, this);
  }

  String id() {
    return id;
  }

  /** Entry of the replica in the store. */
  ObjectNode entry(String state, long born) {
    ObjectNode entry = Store.JSON.createObjectNode();
    entry.put("service", service).put("address", address).put("zone", zone).put("version", "v1").put("slots", slots);
    entry.put("state", state).put("cold_remaining_ms", 0).put("sequence", 0).put("born", born);
    return entry;
  }

  int running() {
    return runs.size();
  }

  /** Ends as a crashed process does: all channels are reset and new ones refused. */
  void crash() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      socket.setTcpNoDelay(true);
      sockets.add(socket);
      Threads.start(
          "channel of " + id,
          () -> {
            try (socket) {
              serve(socket);
            } finally {
              sockets.remove(socket);
            }
          });
    }
  }

  private void serve(Socket socket) throws Exception {
    InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    while (true) {
      Optional<Wire.Head> read = Wire.readHead(in);
      if (read.isEmpty()) {
        return;
      }
      Wire.Head head = read.get();
      byte[] body = Wire.readBody(in, head);
      if (head.path().equals("/v1/kv-move")) {
        move(out, Store.JSON.readTree(body));
        continue;
      }
      String request = head.header("X-Basilport-Attempt-Id").orElse("");
      if (head.header("X-Basilport-Expect-Replica").filter(id::equals).isEmpty()) {
        answer(out, 421, request, "X-Basilport-Replica-Id: " + id + "\r\nX-Basilport-Not-Executed: 1\r\n", "");
        continue;
      }
      record.line("request " + request + " reaches replica " + id + " with Kv-From " + head.header("Kv-From").orElse("-")
              + ", Last-Event-Id " + head.header("Last-Event-Id").orElse("-"));
      if (engine.isPresent()) {
        if (!stream(socket, out, head, request)) {
          return;
        }
      } else {
        record.run(request, id, "call");
        Thread.sleep(workMillis);
        answer(out, 200, request, "X-Basilport-Replica-Seal: seal." + id + "\r\n", "{\"done\":true}");
      }
    }
  }

  private static void answer(OutputStream out, int status, String request, String headers, String body) throws IOException {
    String echoed = request.isEmpty() ? "" : "X-Basilport-Attempt-Id: " + request + "\r\n";
    out.write(("HTTP/1.1 " + status + " -\r\n" + echoed + headers + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length() + "\r\n\r\n"
            + body).getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /** A generation in progress. */
  private static final class Run {
    private final String request;
    private final int events;
    private volatile int made;
    private volatile int copied;
    private volatile boolean stopRequested;
    private volatile boolean ended;

    Run(String request, int events, int made) {
      this.request = request;
      this.events = events;
      this.made = made;
    }
  }

  /** Serves a stream; returns false if its channel was closed without its end. */
  private boolean stream(Socket socket, OutputStream out, Wire.Head head, String request) throws Exception {
    int tokens = Integer.parseInt(head.header("X-Basilport-Token-Count").orElseThrow().split(",")[1].trim());
    int events = Math.max(1, tokens / engine.get().tokensPerEvent());
    int from = head.header("Last-Event-Id").map(Integer::parseInt).orElse(0);
    Optional<String> source = head.header("Kv-From");
    if (source.isPresent()) {
      String handle = source.get().substring(source.get().indexOf('/') + 1);
      if (HANDLE_RUNS.remove(handle) == null) {
        answer(out, 503, request, "X-Basilport-Not-Executed: 1\r\n", "");
        return true;
      }
      record.line("request " + request + " goes on at replica " + id + " from its memory (the same run)");
    } else {
      Thread.sleep(engine.get().prefillMillis());
      record.run(request, id, "stream from event " + (from + 1));
      if (crashingPath.filter(head.path()::equals).isPresent()) {
        record.line("replica " + id + " crashes with " + runs.size() + " other streams in progress");
        crash();
        onCrash.run();
        return false;
      }
    }
    Run run = new Run(request, events, from);
    runs.put(request, run);
    try {
      out.write(("HTTP/1.1 200 OK\r\nX-Basilport-Attempt-Id: " + request + "\r\nX-Basilport-Replica-Seal: seal." + id
              + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n")
          .getBytes(StandardCharsets.US_ASCII));
      while (run.made < events) {
        Thread.sleep(engine.get().eventMillis());
        if (run.stopRequested) {
          record.line("request " + request + " is stopped at replica " + id + " after event " + run.made);
          run.ended = true;
          socket.close();
          return false;
        }
        String event = "id: " + (run.made + 1) + "\ndata: piece " + (run.made + 1) + " of " + request + "\n\n";
        out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
        run.made++;
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      out.flush();
      record.line("request " + request + " is complete at replica " + id);
      record.complete(request);
      return true;
    } catch (IOException e) {
      record.line("request " + request + " is dropped at replica " + id + " after event " + run.made);
      throw e;
    } finally {
      run.ended = true;
      runs.remove(request, run);
    }
  }

  /** Copies the memory of a run; copies of one replica follow each other on its link. */
  private void move(OutputStream out, JsonNode call) throws Exception {
    String request = call.path("id").asText();
    boolean last = call.path("last").asBoolean();
    Run run = runs.get(request);
    Replica target = BY_ADDRESS.get(call.path("target").asText());
    record.line("replica " + id + " is asked to copy " + request + " to " + (target == null ? "?" : target.id) + (last ? " and to stop it" : ""));
    if (run == null || run.ended) {
      answer(out, 404, "", "Content-Type: application/json\r\n", "{}");
      return;
    }
    if (last) {
      run.stopRequested = true;
      while (!run.ended) {
        Thread.sleep(1);
      }
    }
    Engine settings = engine.get();
    synchronized (link) {
      int held = settings.promptTokens() + settings.tokensPerEvent() * run.made;
      double bits = 8.0 * settings.tokenBytes() * (held - run.copied);
      double factor = target != null && target.zone.equals(zone) ? 1 : 2;
      Thread.sleep(Math.round(factor * bits / settings.linkMegabits() / 1_000));
      run.copied = held;
    }
    boolean gone = target == null || target.listener.isClosed();
    String handle = "h" + HANDLES.incrementAndGet();
    if (last) {
      HANDLE_RUNS.put(handle, run);
    }
    ObjectNode answer = Store.JSON.createObjectNode().put("kv_handle", handle).put("created", run.made);
    if (gone && !last) {
      answer.remove("kv_handle");
    }
    answer(out, gone ? 503 : 200, "", "Content-Type: application/json\r\n", answer.toString());
  }
}
