package org.basilport.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Outcome;
import org.basilport.http.ScriptedServer.End;
import org.basilport.http.ScriptedServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpTransportTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

  /** Limit of a wait for a state, which only a state that never comes reaches. */
  private static final Duration LIMIT = Duration.ofSeconds(30);

  private HttpTransport transport =
      HttpTransport.standalone(1, new HttpTimeouts(LIMIT, LIMIT, LIMIT));
  private volatile Script script = new Script(List.of(OK), End.KEEP_OPEN);
  private final ScriptedServer server = new ScriptedServer(path -> script);

  @AfterEach
  void stop() {
    transport.close();
    server.close();
  }

  /** Shortens the timeouts after a first request, which also loads the classes of the client. */
  private void shortenTimeouts(Duration answer, Duration idle) {
    send().join();
    transport.close();
    transport = HttpTransport.standalone(1, new HttpTimeouts(LIMIT, answer, idle));
  }

  private void awaitClosedConnections(int count) throws InterruptedException {
    long end = System.nanoTime() + LIMIT.toNanos();
    while (server.closedConnections() < count) {
      assertThat(end - System.nanoTime()).isGreaterThan(0L);
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  private void answer(End end, String... writes) {
    script = new Script(List.of(writes), end);
  }

  private CompletableFuture<HttpResponse> send() {
    return transport.exchange(HttpCall.of("GET", server.address(), "/"));
  }

  private Throwable failureOf(CompletableFuture<HttpResponse> result) {
    return assertThrows(CompletionException.class, result::join).getCause();
  }

  @Nested
  class Connections {
    /** Guards against an answer to the next request that follows the end of this one's. */
    @ParameterizedTest
    @ValueSource(
        strings = {OK, "H", "\r\n", "HTTP/1.1 500 Error\r\nRequest-Id: 1\r\n\r\n", "garbled"})
    void areNotReusedAfterBytesBehindAnAnswer(String surplus) throws Exception {
      answer(End.KEEP_OPEN, OK + surplus);
      assertThat(send().join().text()).isEqualTo("ok");
      answer(End.KEEP_OPEN, OK, surplus);
      assertThat(send().join().text()).isEqualTo("ok");
      awaitClosedConnections(2);
      answer(End.KEEP_OPEN, OK);
      assertThat(send().join().text()).isEqualTo("ok");

      assertThat(server.connections()).isEqualTo(3);
    }

    /** Guards against requests on a connection whose server said that it closes it. */
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "HTTP/1.1 200 OK/Content-Length: 2//ok|1",
          "HTTP/1.1 200 OK/Transfer-Encoding: chunked//2/ok/0//|1",
          "HTTP/1.1 204 No Content//|1",
          "HTTP/1.1 304 Not Modified//|1",
          "HTTP/1.1 200 OK/Connection: close/Content-Length: 2//ok|3",
          "HTTP/1.0 200 OK/Content-Length: 2//ok|3"
        })
    void areReusedIfTheServerKeepsThem(String lines, int connections) {
      String bytes = lines.replace("/", "\r\n").replace("HTTP\r\n", "HTTP/");
      answer(End.KEEP_OPEN, bytes);
      for (int i = 0; i < 3; i++) {
        send().join();
      }

      assertThat(server.connections()).isEqualTo(connections);
    }

    /** Guards against connections that stay open without a request. */
    @Test
    void areClosedWhenTheyAreIdle() throws Exception {
      shortenTimeouts(LIMIT, Duration.ofMillis(500));
      send().join();
      awaitClosedConnections(2);
      send().join();

      assertThat(server.connections()).isEqualTo(3);
    }

    /** Guards against more connections to a server than a pool may have. */
    @Test
    void areLimited() {
      answer(End.KEEP_OPEN, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "ok");
      List<CompletableFuture<HttpResponse>> results = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        results.add(send());
      }

      assertThat(results.stream().map(result -> result.join().text()).distinct())
          .containsExactly("ok");
      assertThat(server.connections()).isAtMost(16);
    }

    /** Guards against a failed connection that counts as one on which the request may have run. */
    @Test
    void thatFailMeanThatTheRequestHasNotRun() {
      String address = server.address();
      server.close();

      for (HttpCall call :
          List.of(
              HttpCall.of("GET", address, "/"),
              HttpCall.of("GET", address, "/").onNewConnection())) {
        assertThat(HttpTransport.outcomeOf(failureOf(transport.exchange(call))))
            .isEqualTo(Outcome.NOT_RUN);
      }
    }
  }

  @Nested
  class Answers {
    /** Guards against an interim answer that is taken for the answer. */
    @ParameterizedTest
    @CsvSource({"1, true", "16, true", "17, false"})
    void followInterimOnes(int interim, boolean successful) {
      answer(End.KEEP_OPEN, CONTINUE.repeat(interim) + OK);

      assertThat(send().handle((response, failure) -> failure == null).join())
          .isEqualTo(successful);
    }

    /** Guards against a connection that goes on in another protocol. */
    @Test
    void thatSwitchTheProtocolFail() {
      answer(
          End.KEEP_OPEN,
          "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + OK);

      assertThat(HttpTransport.outcomeOf(failureOf(send()))).isEqualTo(Outcome.MAY_HAVE_RUN);
    }

    /** Guards against a body without end that uses up the memory. */
    @ParameterizedTest
    @CsvSource({"2000000, true", "2000001, false"})
    void areLimited(int bytes, boolean successful) {
      answer(End.CLOSE, "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(bytes));

      assertThat(send().handle((response, failure) -> failure == null).join())
          .isEqualTo(successful);
    }

    /** Guards against a server that stops sending and keeps its caller waiting. */
    @Test
    void failWhenNoByteArrives() {
      shortenTimeouts(Duration.ofSeconds(1), LIMIT);
      answer(End.KEEP_OPEN, OK.substring(0, OK.length() - 1));

      assertThat(failureOf(send())).isInstanceOf(SocketTimeoutException.class);
    }

    /** Guards against a slow answer that fails though its bytes keep arriving. */
    @Test
    void mayTakeLongerThanTheTimeoutWhileBytesArrive() {
      shortenTimeouts(Duration.ofSeconds(1), LIMIT);
      String head = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n";
      List<String> writes = new ArrayList<>(Collections.nCopies(2_000, "x"));
      writes.add(0, head);
      script = new Script(writes, End.KEEP_OPEN);

      assertThat(send().join().body()).hasLength(2_000);
    }

    /** Guards against a long poll that ends at the usual timeout. */
    @Test
    void areAwaitedForTheExtraWait() {
      shortenTimeouts(Duration.ofSeconds(1), LIMIT);
      List<String> writes = new ArrayList<>(Collections.nCopies(2_000, ""));
      writes.add(OK);
      script = new Script(writes, End.KEEP_OPEN);
      HttpCall call = HttpCall.of("GET", server.address(), "/");

      assertThat(transport.exchange(call.withExtraWait(LIMIT)).join().text()).isEqualTo("ok");
      assertThat(failureOf(send())).isInstanceOf(SocketTimeoutException.class);
    }
  }
}
