package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Load: 64 faulty servers send bytes that are no answer, without end, until the gateway closes;
 * others answer the requests of other callers meanwhile.
 */
class GatewayEndlessBytesTest extends GatewayFixture {
  private static final int SERVERS = 64;
  private static final int WRITE_BYTES = 32_768;
  private static final int EVENT_BYTES = 200_000;
  private static final String HEAD = "HTTP/1.1 200 S\r\nid: ID\r\nseal: s\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final AtomicInteger writing = new AtomicInteger();

  @AfterEach
  void stopCallers() {
    callers.shutdownNow();
  }

  /** Bytes before those that are repeated, and the repeated ones. */
  private enum Fault {
    STATUS_LINE("", "x"),
    BLANK_LINES("", "\r\n"),
    SPACES("", " "),
    HEADER_LINE(HEAD + "a: ", "x"),
    HEADER_LINES(HEAD, "a: b\r\n"),
    INTERIM_RESPONSES("", "HTTP/1.1 103 E\r\na: b\r\n\r\n"),
    ANSWERS_TO_OTHER_REQUESTS(
        "", "HTTP/1.1 200 S\r\nid: other\r\nseal: s\r\nContent-Length: 0\r\n\r\n"),
    BODY(HEAD + "\r\n", "x"),
    CHUNK_EXTENSION(CHUNKED + "1;", "x"),
    CHUNK_EXTENSIONS(CHUNKED, "1;" + "x".repeat(1_000) + "\r\nx\r\n"),
    TRAILERS(CHUNKED + "0\r\n", "a: b\r\n"),
    TRAILER_LINE(CHUNKED + "0\r\na: ", "x"),
    EVENT(CHUNKED, "400\r\n" + "x".repeat(1_024) + "\r\n"),
    EVENT_IN_LINES(CHUNKED, "9\r\ndata: xx\n\r\n");

    private final String start;
    private final String repeated;

    Fault(String start, String repeated) {
      this.start = start;
      this.repeated = repeated;
    }

    private void write(ScriptedServer.Request request, OutputStream out) throws IOException {
      ScriptedServer.write(out, start.replace("ID", request.id()));
      String block = repeated.repeat(Math.max(1, WRITE_BYTES / repeated.length()));
      while (true) {
        ScriptedServer.write(out, block);
      }
    }
  }

  private CompletableFuture<String> callAsync(String target, String headers) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return call("POST", target, "key: k1\r\n" + headers);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        },
        callers);
  }

  /** Guards against a process that runs out of memory and ends the requests of other callers. */
  @ParameterizedTest
  @CsvSource({
    "/write/x,STATUS_LINE",
    "/write/x,BLANK_LINES",
    "/write/x,SPACES",
    "/write/x,HEADER_LINE",
    "/write/x,HEADER_LINES",
    "/write/x,INTERIM_RESPONSES",
    "/write/x,ANSWERS_TO_OTHER_REQUESTS",
    "/write/x,BODY",
    "/write/x,CHUNK_EXTENSION",
    "/write/x,CHUNK_EXTENSIONS",
    "/write/x,TRAILERS",
    "/write/x,TRAILER_LINE",
    "/stream/x,STATUS_LINE",
    "/stream/x,HEADER_LINES",
    "/stream/x,CHUNK_EXTENSIONS",
    "/stream/x,TRAILERS",
    "/stream/x,EVENT",
    "/stream/x,EVENT_IN_LINES"
  })
  void areBounded(String target, Fault fault) throws Exception {
    routeTimeout = Duration.ofSeconds(25);
    configure(1, "k1");
    for (int i = 0; i < SERVERS; i++) {
      serve(
          target.startsWith("/write") ? "plain" : "model",
          (request, out, socket) -> {
            writing.incrementAndGet();
            try {
              fault.write(request, out);
            } finally {
              writing.decrementAndGet();
            }
          });
    }
    serve("narrow", (request, out, socket) -> ScriptedServer.sendResponse(out, request, 200, "ok"));
    List<CompletableFuture<String>> responses = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      responses.add(callAsync(target, "tokens: 100\r\n"));
    }
    CompletableFuture<Void> all =
        CompletableFuture.allOf(responses.toArray(new CompletableFuture<?>[0]));
    int served = 0;
    do {
      assertThat(callAs("n" + served, "POST", "/narrow/x", "key: k1\r\n")).endsWith("\r\n\r\nok");
      served++;
    } while (!all.isDone());
    for (CompletableFuture<String> response : responses) {
      assertWithMessage(response.get()).that(response.get()).startsWith("HTTP/1.1 502");
    }
    // The servers and the gateway's thread notice the end a moment after the callers.
    await(() -> writing.get() == 0);
    await(() -> bufferedBytes() == 0);
  }

  /** Guards against incomplete events on many streams that no limit of the instance counts. */
  @Test
  void incompleteEventsCountTowardsTheBudget() throws Exception {
    // Long enough for the event to be seen in the budget before the stream is given up.
    targetEventGap = Duration.ofMillis(400);
    routeTimeout = Duration.ofSeconds(25);
    configure(1, "k1");
    String part = Integer.toHexString(EVENT_BYTES) + "\r\n" + "x".repeat(EVENT_BYTES) + "\r\n";
    serve(
        "model",
        (request, out, socket) -> {
          ScriptedServer.write(out, CHUNKED.replace("ID", request.id()) + part);
          Thread.sleep(20_000);
        });
    CompletableFuture<String> response = callAsync("/stream/x", "tokens: 100\r\n");
    await(() -> bufferedBytes() >= EVENT_BYTES);

    assertThat(response.get(15, TimeUnit.SECONDS)).startsWith("HTTP/1.1 502");
    await(() -> bufferedBytes() == 0);
  }
}
