package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams that have begun and break off, and whose next server does not go on with them. */
class GatewayBrokenStreamsTest extends GatewayFixture {
  private static final String SEALED = "id: r1\r\nseal: s\r\n";
  private static final String TEXT = "ODD\n\n";

  private final AtomicInteger sends = new AtomicInteger();

  /** Serves a stream that breaks off after three events; all later sends get the odd answer. */
  private String streamBeforeAnswer(String oddAnswer) throws Exception {
    ScriptedServer.Script script =
        (request, out, socket) -> {
          if (sends.incrementAndGet() == 1) {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 3);
          } else {
            ScriptedServer.write(out, oddAnswer);
          }
          closeGently(out, socket);
        };
    configure(1, "k1");
    serve("model", script);
    serve("model", script);
    serve("model", script);
    return call("POST", "/resume/x", "key: k1\r\ntokens: 100\r\n");
  }

  /** Closes the connection without a reset, which could overtake what was written. */
  private static void closeGently(OutputStream out, Socket socket) throws java.io.IOException {
    out.flush();
    socket.shutdownOutput();
  }

  private static String answer(int status, String headers, String body) {
    return "HTTP/1.1 "
        + status
        + " S\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static void assertBrokenOff(String response) {
    assertThat(response).doesNotContain("ODD");
    assertThat(response).doesNotContain("HTTP/1.1 5");
    assertThat(response).doesNotContain("\r\n0\r\n");
  }

  @Nested
  class Errors {
    /** Guards against the text of an error, or a false end, within a stream. */
    @ParameterizedTest
    @ValueSource(ints = {201, 204, 400, 404, 408, 421, 429, 500, 502, 503, 504})
    void neverReachTheCaller(int status) throws Exception {
      assertBrokenOff(streamBeforeAnswer(answer(status, SEALED, status == 204 ? "" : TEXT)));
      assertThat(sends.get()).isAtLeast(2);
    }

    /** Guards against the same if the server says that it has not run the request. */
    @ParameterizedTest
    @ValueSource(ints = {400, 421, 429, 503})
    void neverReachTheCallerAsRefusals(int status) throws Exception {
      assertBrokenOff(streamBeforeAnswer(answer(status, "id: r1\r\nnot-run: 1\r\n", TEXT)));
      assertThat(sends.get()).isEqualTo(3);
    }

    /** Guards against an error whose body ends with its connection. */
    @Test
    void neverReachTheCallerWithoutALength() throws Exception {
      assertBrokenOff(streamBeforeAnswer("HTTP/1.1 500 S\r\n" + SEALED + "\r\n" + TEXT));
    }
  }

  @Nested
  class Successes {
    private static final String TYPE = "Content-Type: ";

    /** Guards against another text that is taken for the rest of the stream. */
    @ParameterizedTest
    @ValueSource(strings = {"text/plain", "application/json", "text/html; charset=utf-8"})
    void ofAnotherTypeAreNoStream(String type) throws Exception {
      String body = "id: 4\ndata: ODD\n\n";
      assertBrokenOff(streamBeforeAnswer(answer(200, SEALED + TYPE + type + "\r\n", body)));
    }

    /** Guards against an empty answer that is taken for the end of the stream. */
    @Test
    void withoutAnEventAreNoEnd() throws Exception {
      assertBrokenOff(streamBeforeAnswer(answer(200, SEALED, "")));
    }

    /** Guards against an answer that is not the server's own. */
    @Test
    void withoutASealAreNoStream() throws Exception {
      assertBrokenOff(streamBeforeAnswer(answer(200, "id: r1\r\n", "id: 4\ndata: ODD\n\n")));
    }

    /** Guards against an error, or its whole head, in the body of a stream. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          TEXT,
          "HTTP/1.1 500 S\r\nContent-Length: 3\r\n\r\nODD\n\n",
          "{\"error\": \"ODD\"}\n\n",
          "id: 4\nODD: text\n\n",
          "Error: ODD\n\n",
          "unavailable\n\ndata: ODD\n\n"
        })
    void withLinesThatAreNoFieldsAreNoStream(String body) throws Exception {
      String head = SEALED + TYPE + "text/event-stream\r\n";
      assertBrokenOff(streamBeforeAnswer(answer(200, head, body)));
    }

    /** Guards against refusing the end of a stream whose last event had arrived. */
    @Test
    void ofTheStreamsTypeMayHoldOnlyItsEnd() throws Exception {
      String response =
          streamBeforeAnswer(answer(200, SEALED + TYPE + "text/event-stream\r\n", ""));
      assertThat(response).endsWith("0\r\n\r\n");
    }
  }

  @Nested
  class Bytes {
    /** Guards against bytes that are no answer. */
    @ParameterizedTest
    @ValueSource(strings = {"ODD\n\n", "HTTP/1.1 ODD\r\n\r\n", "id: 4\ndata: ODD\n\n"})
    void neverReachTheCaller(String bytes) throws Exception {
      assertBrokenOff(streamBeforeAnswer(bytes));
    }
  }
}
