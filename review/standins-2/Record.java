import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start of the case. */
final class Record {
  private final PrintWriter writer;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
  }

  synchronized void line(String format, Object... values) {
    writer.println(
        String.format("%8d ", millis()) + String.format(format, values).replaceAll("\\s+", " "));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }
}
