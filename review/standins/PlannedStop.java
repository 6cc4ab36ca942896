import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * An instance is stopped with SIGTERM while it sends answers over a link of 8.8 Mbit/s.
 *
 * <p>Arguments: repository, folder of the case, temporary folder.
 */
final class PlannedStop {
  /** Takes 7.6 s on the link, less than the time between SIGTERM and SIGKILL (8 s). */
  private static final int ANSWER_BYTES = 8_300_000;

  /** 8.8 Mbit/s. */
  private static final int LINK_BYTES_PER_MILLI = 1_100;

  private static final int GRACE_MILLIS = 8_000;
  private static final int TIME_LIMIT_MILLIS = 30_000;

  private static volatile int received;
  private static volatile int expected = -1;
  private static volatile String ending = "not ended";

  private PlannedStop() {}

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
    }
    System.out.println(status == 0 ? "held" : status == 1 ? "broken" : "could not run");
    Runtime.getRuntime().halt(status);
  }

  private static int play(Gateways gateways, Store store, Record record, boolean trouble) throws Exception {
    Replica replica = new Replica("i-a", "127.0.0.1", "zone-a", Deployment.APPLICATION, 6, Optional.empty(), record);
    replica.answerBytes = ANSWER_BYTES;
    store.put("servers", replica.id(), replica.entry("ready", System.currentTimeMillis()));
    store.put("config", "main", Deployment.desiredState(7));
    Gateways.Instance instance = gateways.prepare("edge-1", "zone-a", true);
    gateways.start(instance);
    if (!gateways.awaitReady(instance, 30)) {
      record.line("the instance is not ready");
      return 2;
    }
    Thread.sleep(4_000);
    Thread consumer = Threads.start("consumer", () -> exchange(instance, record));
    Thread.sleep(500);
    if (record.runs("export-1") != 1) {
      record.line("the replica has not run the request");
      return 2;
    }
    long stopped = System.nanoTime();
    if (trouble) {
      gateways.signal(instance, "TERM");
    }
    consumer.join(GRACE_MILLIS);
    record.line("after " + (System.nanoTime() - stopped) / 1_000_000 + " ms: " + received + " of " + expected + " bytes received, channel: " + ending
            + "; process alive: " + instance.process.isAlive());
    if (expected != ANSWER_BYTES) {
      return 2;
    }
    return received == ANSWER_BYTES ? 0 : 1;
  }

  /** Sends a request and takes its answer at the rate of the link. */
  private static void exchange(Gateways.Instance instance, Record record) throws Exception {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(65_536);
      socket.connect(instance.frontend, 1_000);
      socket.setSoTimeout(TIME_LIMIT_MILLIS);
      record.line("request export-1 is sent");
      socket.getOutputStream().write(
          ("POST " + Deployment.EXPORTS + "1 HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Basilport-Attempt-Id: export-1\r\nX-Basilport-Deadline-Ms: "
                  + TIME_LIMIT_MILLIS + "\r\nX-Basilport-Key: " + Deployment.KEY + "\r\nContent-Length: 2\r\n\r\n{}")
              .getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      Optional<Wire.Head> head = Wire.readHead(in);
      record.line("the answer begins: " + head.map(Wire.Head::start).orElse("none"));
      expected = Integer.parseInt(head.orElseThrow().header("Content-Length").orElseThrow());
      byte[] buffer = new byte[10 * LINK_BYTES_PER_MILLI];
      long start = System.nanoTime();
      while (received < expected) {
        int read = in.read(buffer);
        if (read < 0) {
          ending = "closed";
          return;
        }
        received += read;
        long dueMillis = received / LINK_BYTES_PER_MILLI - (System.nanoTime() - start) / 1_000_000;
        if (dueMillis > 0) {
          Thread.sleep(dueMillis);
        }
      }
      ending = "answer complete";
    } catch (IOException e) {
      ending = e.getMessage();
    }
  }
}
