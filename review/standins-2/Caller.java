import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Consumer with one kept channel. */
final class Caller implements AutoCloseable {
  private final Socket socket = new Socket();
  private final BufferedInputStream in;

  Caller(Instance instance, int timeoutMillis) throws IOException {
    socket.connect(new InetSocketAddress(instance.ip, instance.frontend), 1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request with a whole body and reads the answer; null if the channel ended without one. */
  HttpMessage call(String method, String path, String id, String key, long deadlineMillis, byte[] body)
      throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(
        (method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Basilport-Attempt-Id: " + id
                + "\r\nX-Basilport-Deadline-Ms: " + deadlineMillis + "\r\nX-Basilport-Key: " + key
                + "\r\nContent-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
    return HttpMessage.read(in);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
