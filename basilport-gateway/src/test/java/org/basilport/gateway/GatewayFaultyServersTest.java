package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends requests through a gateway to servers in trouble. */
class GatewayFaultyServersTest extends GatewayFixture {
  private static final int WRITE_BYTES = 65_536;

  private static final long TARGET_GAP_MILLIS = 200;

  /** Eight times the target of the route. */
  private static final long GAP_LIMIT_MILLIS = 8 * TARGET_GAP_MILLIS;

  GatewayFaultyServersTest() {
    routeTimeout = Duration.ofSeconds(25);
    targetEventGap = Duration.ofMillis(TARGET_GAP_MILLIS);
  }

  private CompletableFuture<String> callAsync(String target, String headers) {
    return startCall("r1", "POST", target, "key: k1\r\n" + headers);
  }

  private static void writeForever(OutputStream out, String text) throws IOException {
    // Small writes would be limited by the wake-ups of the reading thread.
    String block = text.repeat(Math.max(1, WRITE_BYTES / text.length()));
    while (true) {
      ScriptedServer.write(out, block);
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  @Nested
  class EndlessBodies {
    private static final int SERVERS = 50;
    private static final double BUFFER_SHARE = 0.2;
    private static final long GUARANTEED_BYTES = 32_768;

    private String head(int status, String id) {
      return "HTTP/1.1 " + status + " S\r\nid: " + id + "\r\nseal: s\r\n\r\n";
    }

    /** Guards against a heap that grows until the deadline of the request. */
    @ParameterizedTest
    @ValueSource(ints = {200, 500, 404})
    void failsACallWithAnEndlessAnswer(int status) throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) -> {
            ScriptedServer.write(out, head(status, request.id()));
            writeForever(out, "x".repeat(8_192));
          });
      long elapsedMillis =
          shortestMillis(
              1_200,
              () -> assertThat(call("POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 502"));

      assertThat(elapsedMillis).isLessThan(1_200);
    }

    /** Load: many servers send bodies without end at the same time. */
    @Test
    void boundsTheMemoryOfManyEndlessAnswers() throws Exception {
      configure(1, "k1");
      for (int i = 0; i < SERVERS; i++) {
        serve(
            "plain",
            (request, out, socket) -> {
              ScriptedServer.write(out, head(200, request.id()));
              writeForever(out, "x".repeat(8_192));
            });
      }
      List<CompletableFuture<String>> responses = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        responses.add(callAsync("/write/x", ""));
      }
      long peak = 0;
      CompletableFuture<Void> all =
          CompletableFuture.allOf(responses.toArray(new CompletableFuture<?>[0]));
      while (!all.isDone()) {
        peak = Math.max(peak, bufferedBytes());
        Thread.sleep(2);
      }

      assertThat(responses.get(0).get()).startsWith("HTTP/1.1 502");
      assertThat(peak)
          .isAtMost(
              Math.round(BUFFER_SHARE * Runtime.getRuntime().maxMemory())
                  + SERVERS * GUARANTEED_BYTES);
      // The gateway's thread releases the last bodies a moment after their callers are answered.
      await(() -> bufferedBytes() == 0);
    }

    /** Guards against an endless failure in place of a stream. */
    @Test
    void failsAStreamWithAnEndlessFailure() throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.write(out, head(500, request.id()));
            writeForever(out, "x".repeat(8_192));
          });

      assertThat(callAsync("/stream/x", "tokens: 100\r\n").get(20, TimeUnit.SECONDS))
          .startsWith("HTTP/1.1 502");
    }

    /** Guards against comments or empty events that keep a stream alive for ever. */
    @ParameterizedTest
    @ValueSource(strings = {": comment\n\n", "\n\n", "data: again\n\n", "id: 1\ndata: t1\n\n"})
    void endsAStreamWithoutNewEvents(String event) throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 1);
            writeForever(out, chunk(event));
          });
      long elapsedMillis =
          shortestMillis(
              GAP_LIMIT_MILLIS + 400,
              () -> {
                String response = call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n");
                assertThat(response).doesNotContain("\r\n0\r\n");
              });

      assertThat(elapsedMillis).isLessThan(GAP_LIMIT_MILLIS + 400);
    }
  }

  @Nested
  class Stalls {
    /** Guards against a stalled stream that never ends because of a byte now and then. */
    @ParameterizedTest
    @ValueSource(strings = {"x", ": comment\n\n"})
    void endsAStalledStreamThatSendsBytes(String bytes) throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 1);
            while (true) {
              ScriptedServer.write(out, chunk(bytes));
              Thread.sleep(50);
            }
          });
      long elapsedMillis =
          shortestMillis(
              GAP_LIMIT_MILLIS + 600,
              () -> call("POST", "/stream/x", "key: k1\r\ntokens: 100\r\n"));

      assertThat(elapsedMillis).isAtLeast(GAP_LIMIT_MILLIS);
      assertThat(elapsedMillis).isLessThan(GAP_LIMIT_MILLIS + 600);
    }

    /** Guards against cutting a stream that is slow but sound. */
    @Test
    void servesASlowStream() throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            Thread.sleep(GAP_LIMIT_MILLIS / 2);
            ScriptedServer.writeEvents(out, 1, 1);
            Thread.sleep(GAP_LIMIT_MILLIS / 2);
            ScriptedServer.writeEvents(out, 2, 2);
            ScriptedServer.endStream(out);
          });
      String response = callAsync("/stream/x", "tokens: 100\r\n").get(20, TimeUnit.SECONDS);

      assertThat(response).contains("data: t2");
      assertThat(response).endsWith("0\r\n\r\n");
    }
  }

  @Nested
  class SecondCopies {
    /** Guards against giving the answer of one caller to the next one on the same connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 S\r\nid: r1\r\nseal: s\r\n", "HTTP/1.1 500 S\r\n"})
    void doesNotDeliverALateSecondAnswer(String secondHead) throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) -> {
            if (request.id().equals("r1")) {
              ScriptedServer.sendResponse(out, request, 200, "first");
            } else {
              ScriptedServer.write(out, secondHead + "Content-Length: 5\r\n\r\nfirst");
              ScriptedServer.sendResponse(out, request, 200, "other");
            }
          });
      assertThat(call("POST", "/write/x", "key: k1\r\n")).contains("first");
      String response = callAs("r2", "POST", "/write/x", "key: k1\r\n");

      assertThat(response).doesNotContain("first");
      assertThat(response.startsWith("HTTP/1.1 502") || response.contains("other")).isTrue();
    }
  }
}
