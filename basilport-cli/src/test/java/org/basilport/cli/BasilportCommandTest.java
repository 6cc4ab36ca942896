package org.basilport.cli;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

@Timeout(60)
class BasilportCommandTest {
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... arguments) {
    CommandLine command = BasilportCommand.commandLine();
    command.setOut(new PrintWriter(out));
    command.setErr(new PrintWriter(err));
    return command.execute(arguments);
  }

  @Nested
  class Configuration {
    @TempDir Path site;

    /** Guards against a validation error that does not name file, line and field. */
    @Test
    void validateNamesFileLineAndField() throws IOException {
      Files.createDirectory(site.resolve("overlays"));
      Path base = site.resolve("base.yaml");
      Files.writeString(base, "site: a\nworkspaces:\n  - name: w\n    wieght: 1\n");
      Files.writeString(site.resolve("overlays/a.yaml"), "site: b\n");
      assertThat(run("config", "validate", "--site", site.toString())).isEqualTo(3);
      assertThat(err.toString()).contains(base + ":4: workspaces[w].wieght");
    }
  }

  @Nested
  class Usage {
    @ParameterizedTest
    @CsvSource({"locate", "nonsense", "config apply"})
    void missingArgumentsAreUsage(String line) {
      assertThat(run(line.split(" "))).isEqualTo(2);
    }

    /** Guards against a router that starts with an invalid setting. */
    @Test
    void wrongSettingIsUsage() {
      assertThat(run("router", "--instance-id", "Entry One")).isEqualTo(2);
      assertThat(err.toString()).contains("--instance-id (BASILPORT_INSTANCE_ID)");
    }

    @Test
    void unreachableInstanceIsUnavailable() {
      assertThat(run("instances", "--entry", "127.0.0.1:1", "--operator-key", "k")).isEqualTo(6);
      assertThat(err.toString()).contains("127.0.0.1:1");
    }
  }

  @Nested
  class Responses {
    private final List<String> lastEventIds = new CopyOnWriteArrayList<>();
    private HttpServer first;
    private HttpServer second;
    private volatile String firstBody;
    private volatile int firstStatus;

    @BeforeEach
    void start() throws IOException {
      first = serve(this::handleFirst);
      second = serve(this::handleResumed);
    }

    @AfterEach
    void stop() {
      first.stop(0);
      second.stop(0);
    }

    private HttpServer serve(com.sun.net.httpserver.HttpHandler handler) throws IOException {
      HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
      server.createContext("/", handler);
      server.start();
      return server;
    }

    private String address(HttpServer server) {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void handleFirst(HttpExchange exchange) throws IOException {
      if (exchange.getRequestURI().getPath().equals("/v1/locate")) {
        String addresses = "[\"" + address(first) + "\",\"" + address(second) + "\"]";
        send(exchange, 200, "{\"addresses\":" + addresses + ",\"lifetimeMillis\":30000}");
      } else {
        send(exchange, firstStatus, firstBody);
      }
    }

    private void handleResumed(HttpExchange exchange) throws IOException {
      lastEventIds.add(exchange.getRequestHeaders().getFirst("Last-Event-ID"));
      String data = "{\"offset\":1,\"tokens\":[\"b\"]}";
      String end = "event: end\ndata: {\"totalTokens\":2,\"reason\":\"STOP\"}\n\n";
      send(exchange, 200, "id: t2\nevent: token\ndata: " + data + "\n\n" + end);
    }

    private void send(HttpExchange exchange, int code, String body) throws IOException {
      exchange.getRequestBody().readAllBytes();
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(code, bytes.length);
      exchange.getResponseBody().write(bytes);
      exchange.close();
    }

    private int generate() {
      return run(
          "generate", "--entry", address(first), "--workspace", "w", "--key", "k", "r", "prompt");
    }

    /** Guards against a failure whose exit code contradicts its outcome. */
    @ParameterizedTest
    @CsvSource({
      "400, MALFORMED, NOT_RUN, 3",
      "429, OVER_LIMIT, NOT_RUN, 3",
      "502, BACKEND_LOST, MAY_HAVE_RUN, 4",
      "503, NO_BACKEND, NOT_RUN, 6",
      "503, PLATFORM_UNAVAILABLE, MAY_HAVE_RUN, 4",
      "409, CONFLICT, NOT_RUN, 7"
    })
    void exitCodeMatchesOutcome(int httpStatus, String code, String outcome, int exitCode) {
      firstStatus = httpStatus;
      firstBody =
          String.format(
              "{\"code\":\"%s\",\"outcome\":\"%s\",\"step\":\"ADMIT\",\"peer\":\"\","
                  + "\"retryAfterMillis\":null,\"message\":\"m\",\"addresses\":[]}",
              code, outcome);
      assertThat(generate()).isEqualTo(exitCode);
      assertThat(err.toString()).contains(code);
    }

    /** Guards against a handover that loses or repeats tokens. */
    @Test
    void followsResumeEvents() {
      firstStatus = 200;
      firstBody =
          "id: t1\nevent: token\ndata: {\"offset\":0,\"tokens\":[\"a\"]}\n\n"
              + "id: t1\nevent: resume\ndata: {\"resumeToken\":\"t1\",\"addresses\":[\""
              + address(second)
              + "\"]}\n\n";
      assertThat(generate()).isEqualTo(0);
      assertThat(out.toString().trim()).isEqualTo("ab");
      assertThat(lastEventIds).containsExactly("t1");
    }

    /** Guards against a truncated stream that is reported as complete or as not run. */
    @Test
    void unresumedStreamIsLostPartWay() {
      second.stop(0);
      firstStatus = 200;
      firstBody =
          "id: t1\nevent: token\ndata: {\"offset\":0,\"tokens\":[\"a\"]}\n\n"
              + "id: t1\nevent: resume\ndata: {\"resumeToken\":\"t1\",\"addresses\":[\""
              + address(second)
              + "\"]}\n\n";
      assertThat(generate()).isEqualTo(5);
    }

    @Test
    void lostPartWayIsReported() {
      firstStatus = 200;
      firstBody =
          "id: t1\nevent: token\ndata: {\"offset\":0,\"tokens\":[\"a\"]}\n\n"
              + "event: error\ndata: {\"code\":\"BACKEND_LOST\",\"outcome\":\"LOST_PART_WAY\","
              + "\"step\":\"STREAM\",\"peer\":\"e1\",\"message\":\"lost\",\"addresses\":[]}\n\n";
      assertThat(generate()).isEqualTo(5);
    }
  }
}
