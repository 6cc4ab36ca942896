import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Stand-in of a consumer that sends one request on a channel of its own. */
final class Consumer {
  /** How a request ended: status 0 without an answer; complete only if the whole body has come. */
  record Answer(int status, boolean complete, List<Integer> events, String problem) {}

  private Consumer() {}

  /** Sends a request in the background. */
  static CompletableFuture<Answer> send(
      InetSocketAddress frontend, String id, String path, String host, String key, int deadlineMillis, String headers, Record record) {
    return send(frontend, id, path, host, key, deadlineMillis, headers, record, "{\"request\":\"" + id + "\"}");
  }

  /** Sends a request with a body in the background. */
  static CompletableFuture<Answer> send(
      InetSocketAddress frontend, String id, String path, String host, String key, int deadlineMillis, String headers, Record record, String body) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    Threads.start("consumer " + id, () -> result.complete(exchange(frontend, id, path, host, key, deadlineMillis, headers, record, body)));
    return result;
  }

  private static Answer exchange(
      InetSocketAddress frontend, String id, String path, String host, String key, int deadlineMillis, String headers, Record record, String body) {
    List<Integer> events = new ArrayList<>();
    int status = 0;
    record.line("request " + id + " is sent to " + path);
    try (Socket socket = new Socket()) {
      socket.connect(frontend, 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(deadlineMillis);
      socket.getOutputStream().write(
          ("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Basilport-Attempt-Id: " + id + "\r\nX-Basilport-Deadline-Ms: "
                  + deadlineMillis + "\r\nX-Basilport-Key: " + key + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
              .getBytes(StandardCharsets.US_ASCII));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Optional<Wire.Head> head = Wire.readHead(in);
      if (head.isEmpty()) {
        record.line("request " + id + " has no answer: the channel is closed");
        return new Answer(0, false, events, "closed");
      }
      status = head.get().status();
      if (head.get().header("Transfer-Encoding").isEmpty()) {
        Wire.readBody(in, head.get());
      } else {
        StringBuilder text = new StringBuilder();
        for (byte[] chunk = Wire.readChunk(in); chunk.length > 0; chunk = Wire.readChunk(in)) {
          text.append(new String(chunk, StandardCharsets.US_ASCII));
          for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
            String event = text.substring(0, end);
            text.delete(0, end + 2);
            events.add(Integer.parseInt(event.substring(4, event.indexOf('\n'))));
          }
        }
      }
      record.line("request " + id + " is answered " + status + (events.isEmpty() ? "" : " with events to " + events.get(events.size() - 1)));
      return new Answer(status, true, events, "");
    } catch (IOException e) {
      record.line("request " + id + " ends with status " + status + " after " + events.size() + " events: " + e.getMessage());
      return new Answer(status, false, events, String.valueOf(e.getMessage()));
    }
  }
}
