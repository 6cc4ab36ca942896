import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message with its whole body. */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {

  /** Reads a message; null if the connection ended before its first byte. */
  static HttpMessage read(InputStream in) throws IOException {
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
      if (line == null) {
        throw new EOFException("end within a head");
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new EOFException("end within chunks");
        }
        int length = Integer.parseInt(size.trim(), 16);
        body.write(readFully(in, length));
        readLine(in);
        if (length == 0) {
          break;
        }
      }
    } else {
      body.write(readFully(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
    }
    return new HttpMessage(startLine, headers, body.toByteArray());
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("end within a body");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("end within a line");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
