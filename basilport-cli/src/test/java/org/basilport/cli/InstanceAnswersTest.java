package org.basilport.cli;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;

/** Answers of an instance that stop or are not those of the call, and the exit codes. */
@Timeout(120)
class InstanceAnswersTest {
  private static final int DONE = 0;
  private static final int MAY_HAVE_RUN = 4;
  private static final int LOST_PART_WAY = 5;
  private static final int PARALLEL_RUNS = 8;

  /** Begin of the workspaces whose location is the answer. */
  private static final String LOCATES = "locates-";

  private static final String LENGTH_FIELD = "content-length:";

  private static final String TOKEN =
      "id: t1\nevent: token\ndata: {\"offset\":0,\"tokens\":[\"a\"]}\n\n";
  private static final String END = "event: end\ndata: {\"totalTokens\":1,\"reason\":\"STOP\"}\n\n";
  private static final String LOST =
      "{\"code\":\"BACKEND_LOST\",\"outcome\":\"LOST_PART_WAY\",\"step\":\"STREAM\","
          + "\"peer\":\"\",\"retryAfterMillis\":null,\"message\":\"m\",\"addresses\":[]}";
  private static final List<String> GENERATE = List.of("generate", "r", "prompt");
  private static final List<String> SUBMIT = List.of("generate", "--deferred", "r", "prompt");
  private static final List<String> CALL = List.of("call", "r", "body");
  private static final List<String> LOCATE = List.of("locate", "r");

  /** Bodies that no call of an instance is answered with. */
  private static final List<String> OTHER =
      List.of("", "null", "5", "\"text\"", "[]", "{}", "{\"error\":\"unavailable\"}", "{} {}");

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ExecutorService commands = Executors.newFixedThreadPool(PARALLEL_RUNS);

  /** Answer for each workspace, which is a run. */
  private final Map<String, String> answers = new ConcurrentHashMap<>();

  private final AtomicInteger number = new AtomicInteger();
  private ServerSocket listener;

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    listener.close();
    commands.shutdownNow();
    threads.shutdownNow();
  }

  /** Guards against a part of an answer that is reported as done, or as not run. */
  @Test
  void thatStopMayHaveRun() throws Exception {
    String submitted = "{\"id\":\"j1\"}";
    check(SUBMIT, cuts(withLength(200, submitted), MAY_HAVE_RUN));
    check(SUBMIT, cuts(chunked(submitted), MAY_HAVE_RUN));
    check(SUBMIT, cuts(untilClose(submitted), MAY_HAVE_RUN));
    check(CALL, cuts(withLength(200, "done"), MAY_HAVE_RUN));
    check(CALL, cuts(chunked("done"), MAY_HAVE_RUN));
    check(LOCATE, cuts(untilClose(location("127.0.0.1:1")), MAY_HAVE_RUN));
  }

  /** Guards against a stream that stops and looks complete, or as if it had not run. */
  @Test
  void thatStopAfterATokenAreLostPartWay() throws Exception {
    for (String whole : List.of(chunked(TOKEN + END), untilClose(TOKEN + END))) {
      int token = whole.indexOf(TOKEN) + TOKEN.length();
      int end = whole.indexOf(END) + END.length();
      List<Run> runs = new ArrayList<>();
      for (int cut = 0; cut <= whole.length(); cut++) {
        int expected = cut < token ? MAY_HAVE_RUN : cut < end ? LOST_PART_WAY : DONE;
        runs.add(new Run(whole.substring(0, cut), expected));
      }
      check(GENERATE, runs);
    }
  }

  /** Guards against a body of another kind that is reported as done, or as not run. */
  @Test
  void withAnotherBodyMayHaveRun() throws Exception {
    List<Run> runs = new ArrayList<>();
    List<Run> failures = new ArrayList<>();
    for (String body : OTHER) {
      runs.add(new Run(withLength(200, body), MAY_HAVE_RUN));
      failures.add(new Run(withLength(500, body), MAY_HAVE_RUN));
      failures.add(new Run(withLength(302, body), MAY_HAVE_RUN));
    }
    check(SUBMIT, runs);
    check(LOCATE, runs);
    check(GENERATE, runs);
    check(SUBMIT, failures);
    check(GENERATE, failures);
    check(LOCATE, failures);
  }

  /** Guards against an event without its members that ends a stream as complete. */
  @Test
  void withAnotherEventAreLostPartWay() throws Exception {
    List<Run> runs = new ArrayList<>();
    for (String data : OTHER) {
      String token = "id: t2\nevent: token\ndata: " + data + "\n\n";
      String end = "event: end\ndata: " + data + "\n\n";
      String resume = "event: resume\ndata: " + data + "\n\n";
      String error = "event: error\ndata: " + data + "\n\n";
      runs.add(new Run(chunked(token + END), MAY_HAVE_RUN));
      runs.add(new Run(chunked(end), MAY_HAVE_RUN));
      runs.add(new Run(chunked(error), MAY_HAVE_RUN));
      for (String event : List.of(token, end, resume, error)) {
        runs.add(new Run(chunked(TOKEN + event + END), LOST_PART_WAY));
      }
    }
    runs.add(new Run(chunked(TOKEN + END.replace(":1,", ":2,")), LOST_PART_WAY));
    runs.add(new Run(chunked(TOKEN.replace(":0,", ":1,") + END), LOST_PART_WAY));
    check(GENERATE, runs);
  }

  private static List<Run> cuts(String whole, int expected) {
    List<Run> runs = new ArrayList<>();
    for (int cut = 0; cut < whole.length(); cut++) {
      runs.add(new Run(whole.substring(0, cut), expected));
    }
    runs.add(new Run(whole, DONE));
    return runs;
  }

  private void check(List<String> command, List<Run> runs) throws Exception {
    List<Callable<String>> tasks = new ArrayList<>();
    for (Run run : runs) {
      tasks.add(() -> wrongExit(command, run));
    }
    List<String> wrong = new ArrayList<>();
    for (Future<String> result : commands.invokeAll(tasks)) {
      try {
        wrong.add(result.get());
      } catch (ExecutionException e) {
        throw new AssertionError(e.getCause());
      }
    }
    wrong.removeIf(String::isEmpty);
    assertWithMessage("%s of %s runs of %s", wrong.size(), runs.size(), command)
        .that(wrong)
        .isEmpty();
  }

  private String wrongExit(List<String> command, Run run) {
    String id = (command == LOCATE ? LOCATES : "w") + number.incrementAndGet();
    answers.put(id, run.answer);
    List<String> arguments = new ArrayList<>(command);
    arguments.addAll(1, List.of("--entry", address(), "--workspace", id, "--key", "k"));
    CommandLine line = BasilportCommand.commandLine();
    StringWriter err = new StringWriter();
    line.setOut(new PrintWriter(new StringWriter()));
    line.setErr(new PrintWriter(err));
    int exit = line.execute(arguments.toArray(new String[0]));
    return exit == run.exit
        ? ""
        : "exit code " + exit + " instead of " + run.exit + " after " + run.answer + ": " + err;
  }

  private String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private static String location(String address) {
    return "{\"addresses\":[\"" + address + "\"],\"lifetimeMillis\":30000}";
  }

  private static String head(int status) {
    return "HTTP/1.1 " + status + " R\r\nBasilport-Request-Id: r1\r\n";
  }

  private static String withLength(int status, String body) {
    return head(status) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String untilClose(String body) {
    return head(200) + "\r\n" + body;
  }

  private static String chunked(String body) {
    return head(200)
        + "Transfer-Encoding: chunked\r\n\r\n"
        + Integer.toHexString(body.length())
        + "\r\n"
        + body
        + "\r\n0\r\n\r\n";
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      boolean open = true;
      while (open) {
        String request = in.readLine();
        if (request == null) {
          return;
        }
        Map<String, String> fields = readFields(in);
        String workspace = fields.get("basilport-workspace:");
        String answer = answers.get(workspace);
        if (request.startsWith("GET /v1/locate") && !workspace.startsWith(LOCATES)) {
          answer = withLength(200, location(address()));
        } else if (request.startsWith("GET /v1/generations/events")) {
          answer = withLength(502, LOST);
        } else {
          open = false;
        }
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      // The command closed the connection.
    }
  }

  private static Map<String, String> readFields(BufferedReader in) throws IOException {
    Map<String, String> fields = new ConcurrentHashMap<>();
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':') + 1;
      fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon).strip());
      line = in.readLine();
    }
    int length = Integer.parseInt(fields.getOrDefault(LENGTH_FIELD, "0"));
    for (int i = 0; i < length; i++) {
      in.read();
    }
    return fields;
  }

  /** Answer to a command and the exit code that it must have. */
  private record Run(String answer, int exit) {}
}
