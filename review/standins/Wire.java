import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Reads HTTP/1.1 heads and bodies from a blocking stream. */
final class Wire {
  /** Head of a message; names of headers are in lower case. */
  record Head(String start, Map<String, String> headers) {
    Optional<String> header(String name) {
      return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String method() {
      return start.split(" ")[0];
    }

    String path() {
      return start.split(" ")[1];
    }

    boolean closes() {
      return header("connection").filter(value -> value.equalsIgnoreCase("close")).isPresent();
    }
  }

  private Wire() {}

  /** Reads a head; empty if the channel ends before its first byte. */
  static Optional<Head> readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return Optional.empty();
    }
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("the channel ended within a head");
      }
      if (line.isEmpty()) {
        return Optional.of(new Head(start, headers));
      }
      int colon = line.indexOf(':');
      headers.merge(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim(), (a, b) -> a + "," + b);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int read = in.read();
      if (read < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("the channel ended within a line");
      }
      if (read == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(read);
    }
  }

  /** Reads a body that has a length; an empty one if the head names none. */
  static byte[] readBody(InputStream in, Head head) throws IOException {
    int length = head.header("content-length").map(Integer::parseInt).orElse(0);
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the channel ended within a body");
    }
    return body;
  }

  /** Reads the next chunk; empty array at the end. */
  static byte[] readChunk(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("the channel ended before the last chunk");
    }
    int size = Integer.parseInt(line.split(";")[0].trim(), 16);
    byte[] chunk = in.readNBytes(size);
    if (chunk.length < size) {
      throw new EOFException("the channel ended within a chunk");
    }
    readLine(in);
    return chunk;
  }
}
