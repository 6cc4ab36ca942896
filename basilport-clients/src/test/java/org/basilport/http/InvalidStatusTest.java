package org.basilport.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.basilport.error.Outcome;
import org.basilport.http.ScriptedServer.End;
import org.basilport.http.ScriptedServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers that answer the router with valid and invalid status lines. Its calls to the platform, to
 * servers and to instances use one transport.
 */
class InvalidStatusTest {
  private static final String FIELDS = "Content-Length: 2\r\n\r\nok";
  private static final String NAMED = "Request-Id: r1\r\n";

  private final HttpTransport transport =
      HttpTransport.standalone(
          1, new HttpTimeouts(Duration.ofSeconds(10), Duration.ofSeconds(10), Duration.ZERO));
  private volatile String answer = "";
  private final ScriptedServer server =
      new ScriptedServer(path -> new Script(List.of(answer), End.KEEP_OPEN));

  @AfterEach
  void stop() {
    transport.close();
    server.close();
  }

  private HttpResponse send(String bytes) {
    answer = bytes;
    return transport.exchange(HttpCall.of("GET", server.address(), "/")).join();
  }

  /** Guards against passing on an answer with an invalid status line, with and without an id. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 Error",
        "HTTP/1.1 001 S",
        "HTTP/1.1 099 S",
        "HTTP/1.1 600 S",
        "HTTP/1.1 999 S",
        "HTTP/1.1 2000 S",
        "HTTP/1.1 0200 S",
        "HTTP/2.0 200 S",
        "HTTP/9.9 200 S"
      })
  void failsTheCall(String line) {
    for (String id : List.of("", NAMED)) {
      CompletionException failure =
          assertThrows(CompletionException.class, () -> send(line + "\r\n" + id + FIELDS));
      assertThat(HttpTransport.outcomeOf(failure.getCause())).isNotEqualTo(Outcome.NOT_RUN);
    }
  }

  /** Guards against failing the calls to sound servers. */
  @Test
  void passesValidAnswers() {
    assertThat(send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + FIELDS).text())
        .isEqualTo("ok");
    assertThat(send("HTTP/1.0 200\r\n" + FIELDS).status()).isEqualTo(200);
    assertThat(send("HTTP/1.1 599 S\r\n" + NAMED + FIELDS).status()).isEqualTo(599);
  }
}
