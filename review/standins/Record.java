import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Writes what was sent, answered and run, with the time since the start, and counts the runs of each request. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;
  private final Map<String, Integer> runs = new LinkedHashMap<>();
  private final Set<String> completed = new HashSet<>();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void line(String text) {
    out.printf("%8.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
  }

  /** Records that a replica began to work on a request. */
  synchronized void run(String id, String replica, String how) {
    runs.merge(id, 1, Integer::sum);
    line("replica " + replica + " runs request " + id + " (" + how + "), run " + runs.get(id));
  }

  /** Records that a replica has sent the whole answer to a request. */
  synchronized void complete(String id) {
    completed.add(id);
  }

  synchronized boolean completed(String id) {
    return completed.contains(id);
  }

  synchronized int runs(String id) {
    return runs.getOrDefault(id, 0);
  }

  synchronized Map<String, Integer> allRuns() {
    return new LinkedHashMap<>(runs);
  }
}
