package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Planned stops: what callers get whose requests are late or still open at their end. */
class GatewayStopsTest extends GatewayFixture {
  private static final int READ_TIMEOUT_MILLIS = 20_000;

  /** Time from the end of the drain to the answer of a caller; all other answers come later. */
  private static final int ANSWER_TIMEOUT_MILLIS = 3_000;

  GatewayStopsTest() {
    useLongLimits();
  }

  /** Times until the answers of requests ended, by method and target. */
  private final Map<String, Long> waitedMillis = new ConcurrentHashMap<>();

  private final ExecutorService callers = Executors.newCachedThreadPool();

  @AfterEach
  void stopCallers() {
    callers.shutdownNow();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(65_536);
    socket.connect(new InetSocketAddress(frontend.getAddress(), frontend.getPort()));
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    return socket;
  }

  private static String head(String target, String headers) {
    return "POST " + target + " HTTP/1.1\r\nhost: h\r\nid: r1\r\nkey: k1\r\n" + headers + "\r\n";
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads until the connection ends, whether it is closed or reset. */
  private static String readToEnd(Socket socket) {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try {
      InputStream in = socket.getInputStream();
      for (int value = in.read(); value >= 0; value = in.read()) {
        received.write(value);
      }
    } catch (IOException e) {
      received.writeBytes(" reset".getBytes(StandardCharsets.ISO_8859_1));
    }
    return received.toString(StandardCharsets.ISO_8859_1);
  }

  /** Sends a request and reads until the connection ends. */
  private String exchange(Socket socket, String target, String headers) throws IOException {
    long start = System.nanoTime();
    write(socket, head(target, headers));
    String received = readToEnd(socket);
    recordWait("POST " + target, start);
    return received;
  }

  private void recordWait(String request, long startNanos) {
    waitedMillis.put(request, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
  }

  private CompletableFuture<String> callAsync(String target, String headers) {
    return CompletableFuture.supplyAsync(
        () -> {
          try (Socket socket = connect()) {
            return exchange(socket, target, headers);
          } catch (ConnectException e) {
            return "refused";
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        },
        callers);
  }

  private static void awaitRequests(ScriptedServer server, int count) {
    await(() -> server.requests().size() >= count);
  }

  @Nested
  class AnswersBeingWritten {
    /** More than the socket buffers hold. */
    private static final int ANSWER_BYTES = 8_000_000;

    private static final Duration MIN_DURATION = Duration.ofMillis(200);
    private static final Duration MAX_DURATION = Duration.ofMillis(2_400);

    /** Time after the grace period within which the drain ends. */
    private static final long END_MILLIS = 1_500;

    private Socket callWithALargeAnswer() throws Exception {
      configure(1, "k1");
      String body = "x".repeat(ANSWER_BYTES);
      serve(
          "plain", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, body));
      Socket socket = connect();
      write(socket, head("/write/x", ""));
      assertThat(socket.getInputStream().read()).isEqualTo((int) 'H');
      return socket;
    }

    /** Guards against a stop that cuts an answer which is complete but not yet written. */
    @Test
    void areAwaited() throws Exception {
      try (Socket socket = callWithALargeAnswer()) {
        CompletableFuture<Void> drained = gateway.drain(MIN_DURATION, Duration.ofSeconds(30));
        Thread.sleep(4 * MIN_DURATION.toMillis());
        assertThat(drained.isDone()).isFalse();

        int received = socket.getInputStream().readNBytes(ANSWER_BYTES).length;
        assertThat(received).isEqualTo(ANSWER_BYTES);
        drained.get(5, TimeUnit.SECONDS);
      }
    }

    /** Guards against a stop that a caller who reads nothing extends beyond the grace period. */
    @Test
    void areAwaitedWithinTheGracePeriod() throws Exception {
      try (Socket socket = callWithALargeAnswer()) {
        assertThat(socket.isConnected()).isTrue();
        long start = System.nanoTime();
        gateway.drain(MIN_DURATION, MAX_DURATION).get(10, TimeUnit.SECONDS);

        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertThat(elapsedMillis).isAtLeast(MAX_DURATION.toMillis());
        assertThat(elapsedMillis).isLessThan(MAX_DURATION.toMillis() + END_MILLIS);
      }
    }
  }

  @Nested
  class EndOfTheGracePeriod {
    private static final Duration MIN_DURATION = Duration.ofMillis(20);
    private static final Duration MAX_DURATION = Duration.ofMillis(80);

    private final ScriptedServer.Script silent =
        (request, out, socket) -> Thread.sleep(READ_TIMEOUT_MILLIS);

    EndOfTheGracePeriod() {
      useLongQueueTimeout();
    }

    private String responseAtTheEnd(CompletableFuture<String> response) throws Exception {
      gateway.drain(MIN_DURATION, MAX_DURATION).get(10, TimeUnit.SECONDS);
      return response.get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Guards against a request without an answer because its server is slow. */
    @ParameterizedTest
    @CsvSource({"plain,/write/x", "plain,/read/x", "model,/stream/x", "model,/resume/x"})
    void answersRequestsThatMayHaveRun(String service, String target) throws Exception {
      configure(1, "k1");
      ScriptedServer server = serve(service, silent);
      CompletableFuture<String> response = callAsync(target, "tokens: 10\r\n");
      awaitRequests(server, 1);

      assertThat(responseAtTheEnd(response)).startsWith("HTTP/1.1 502");
    }

    /** Guards against an incomplete stream that its caller takes for a complete one. */
    @Test
    void resetsStreamsThatHaveStarted() throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 1);
            silent.respond(request, out, socket);
          });
      CompletableFuture<String> response = callAsync("/stream/x", "tokens: 10\r\n");
      awaitFirstEvents("/stream/", 1);
      String received = responseAtTheEnd(response);

      assertThat(received).contains("data: t1");
      assertThat(received).endsWith(" reset");
    }

    /** Guards against a queued request that gets no answer though it certainly has not run. */
    @Test
    void rejectsQueuedRequests() throws Exception {
      configure(1, "k1");
      ScriptedServer server = serve("narrow", silent);
      for (int i = 0; i < NARROW_CONNECTIONS - 1; i++) {
        callAsync("/narrow/" + i, "");
      }
      awaitRequests(server, NARROW_CONNECTIONS - 1);
      CompletableFuture<String> queued = callAsync("/narrow/queued", "");
      await(() -> waitingRequests() == 1);
      String response = responseAtTheEnd(queued);

      assertThat(response).startsWith("HTTP/1.1 503");
      assertThat(response).contains("retry-after");
      assertThat(response).contains("instance is stopping");
      assertThat(server.requests()).doesNotContain("POST /narrow/queued");
    }
  }

  @Nested
  class AfterTheDrain {
    private static final Duration MIN_DURATION = Duration.ofMillis(100);

    /** Guards against a request that is passed on while the process ends. */
    @Test
    void noRequestIsPassedOn() throws Exception {
      configure(1, "k1");
      ScriptedServer plain =
          serve(
              "plain",
              (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 1);
            Thread.sleep(4 * MIN_DURATION.toMillis());
            ScriptedServer.endStream(out);
          });
      try (Socket socket = connect()) {
        write(socket, head("/stream/x", "tokens: 10\r\n"));
        assertThat(socket.getInputStream().read()).isEqualTo((int) 'H');
        gateway.drain(MIN_DURATION, Duration.ofSeconds(10)).get(10, TimeUnit.SECONDS);
        write(socket, head("/write/x", ""));
        String received = readToEnd(socket);

        assertThat(received).contains("\r\n0\r\n\r\nHTTP/1.1 503");
        assertThat(received).contains("retry-after");
        assertThat(plain.requests()).isEmpty();
      }
    }
  }

  /** Load: requests of each kind every 50 ms from the stop until the process is gone. */
  @Nested
  class LateRequests {
    private static final Duration MIN_DURATION = Duration.ofMillis(2_000);
    private static final Duration MAX_DURATION = Duration.ofMillis(2_500);
    private static final long INTERVAL_MILLIS = 50;

    private static final Duration TIME_LIMIT = Duration.ofMillis(1_500);

    /** Nearly the time limit of the routes. */
    private static final int RUN_MILLIS = 1_300;

    private static final int EVENT_MILLIS = 100;

    LateRequests() {
      routeTimeout = TIME_LIMIT;
    }

    private final ScriptedServer.Script slowCall =
        (request, out, socket) -> {
          Thread.sleep(RUN_MILLIS);
          ScriptedServer.sendResponse(out, request, 200, "ok");
        };

    private final ScriptedServer.Script slowStream =
        (request, out, socket) -> {
          ScriptedServer.startStream(out, request);
          long start = System.nanoTime();
          for (int i = 1; i <= RUN_MILLIS / EVENT_MILLIS; i++) {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            Thread.sleep(Math.max(0, (long) i * EVENT_MILLIS - elapsedMillis));
            ScriptedServer.writeEvents(out, i, i);
          }
          ScriptedServer.endStream(out);
        };

    private boolean complete(String response) {
      return response.startsWith("HTTP/1.1 5")
          || response.endsWith("\r\n\r\nok")
          || response.endsWith("\r\n0\r\n\r\n");
    }

    /**
     * Whether a caller has waited for the time limit of the route, which a slow machine reaches; a
     * request that a stop cuts off ends earlier.
     */
    private boolean reachedTimeLimit(String request) {
      return waitedMillis.getOrDefault(request, 0L) >= TIME_LIMIT.toMillis();
    }

    private String callOnKeptConnection(Socket socket, String target, String headers) {
      try (socket) {
        return exchange(socket, target, headers);
      } catch (IOException e) {
        return "refused";
      }
    }

    /** Guards against taking a request that is cut off at the end of the grace period. */
    @ParameterizedTest
    @CsvSource({
      "/read/,false",
      "/write/,false",
      "/stream/,false",
      "/stream/,true",
      "/resume/,false"
    })
    void areAnsweredOrRejected(String prefix, boolean sized) throws Exception {
      String headers = sized ? "tokens: 10\r\n" : "";
      configure(1, "k1");
      List<ScriptedServer> all = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        all.add(serve("plain", slowCall));
        all.add(serve("model", slowStream));
      }
      int points = (int) (MAX_DURATION.toMillis() / INTERVAL_MILLIS);
      List<Socket> kept = new ArrayList<>();
      for (int i = 0; i < points; i++) {
        kept.add(connect());
      }
      awaitChanges();
      long start = System.nanoTime();
      CompletableFuture<Void> stopped =
          gateway.drain(MIN_DURATION, MAX_DURATION).thenCompose(drained -> gateway.stop());
      Map<String, CompletableFuture<String>> responses = new LinkedHashMap<>();
      int pointsBeforeMinimum = 0;
      for (int i = 0; i < points && !stopped.isDone(); i++) {
        if (System.nanoTime() - start < MIN_DURATION.toNanos()) {
          pointsBeforeMinimum++;
        }
        String onNew = prefix + "new" + i;
        String onKept = prefix + "kept" + i;
        Socket keptSocket = kept.get(i);
        responses.put("POST " + onNew, callAsync(onNew, headers));
        responses.put(
            "POST " + onKept,
            CompletableFuture.supplyAsync(
                () -> callOnKeptConnection(keptSocket, onKept, headers), callers));
        Thread.sleep(INTERVAL_MILLIS);
      }
      stopped.get(20, TimeUnit.SECONDS);
      start();

      List<String> run = new ArrayList<>();
      all.forEach(server -> run.addAll(server.requests()));
      int answered = 0;
      for (Map.Entry<String, CompletableFuture<String>> entry : responses.entrySet()) {
        String response = entry.getValue().get(20, TimeUnit.SECONDS);
        if (run.contains(entry.getKey())) {
          boolean ended = complete(response) || reachedTimeLimit(entry.getKey());
          assertWithMessage(entry.getKey() + ": " + response).that(ended).isTrue();
        } else if (response.startsWith("HTTP")) {
          assertWithMessage(entry.getKey()).that(response).startsWith("HTTP/1.1 503");
          assertWithMessage(entry.getKey()).that(response).contains("retry-after");
        }
        if (response.startsWith("HTTP")) {
          answered++;
        }
      }
      // Callers connect until the minimum duration, on new and on kept connections.
      assertThat(answered).isAtLeast(pointsBeforeMinimum);
    }

    /** Guards against a request that is cut off because its body arrives slowly. */
    @Test
    void areAnsweredIfTheirBodyArrivesSlowly() throws Exception {
      configure(1, "k1");
      ScriptedServer server = serve("plain", slowCall);
      Map<Integer, CompletableFuture<String>> responses = new LinkedHashMap<>();
      CompletableFuture<Void> stopped = null;
      for (int millis = 200; millis <= 2_200; millis += 200) {
        int bodyMillis = millis;
        responses.put(
            millis,
            CompletableFuture.supplyAsync(
                () -> {
                  try (Socket socket = connect()) {
                    write(socket, head("/write/" + bodyMillis, "Content-Length: 2\r\n") + "x");
                    Thread.sleep(bodyMillis);
                    long start = System.nanoTime();
                    write(socket, "x");
                    String received = readToEnd(socket);
                    recordWait("POST /write/" + bodyMillis, start);
                    return received;
                  } catch (IOException | InterruptedException e) {
                    return "failed: " + e;
                  }
                },
                callers));
      }
      awaitChanges();
      stopped = gateway.drain(MIN_DURATION, MAX_DURATION).thenCompose(drained -> gateway.stop());
      stopped.get(20, TimeUnit.SECONDS);
      start();

      for (Map.Entry<Integer, CompletableFuture<String>> entry : responses.entrySet()) {
        String response = entry.getValue().get(20, TimeUnit.SECONDS);
        String request = "POST /write/" + entry.getKey();
        String expected = "HTTP/1.1 503";
        if (server.requests().contains(request)) {
          boolean late = reachedTimeLimit(request) && response.startsWith("HTTP/1.1 504");
          expected = late ? "HTTP/1.1 504" : "HTTP/1.1 200";
        }
        assertWithMessage(entry.getKey() + " ms").that(response).startsWith(expected);
      }
    }
  }
}
