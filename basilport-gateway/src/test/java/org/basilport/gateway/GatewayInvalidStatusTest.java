package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Servers that answer with a status line that no server may send. */
class GatewayInvalidStatusTest extends GatewayFixture {
  private static final String KEY = "key: k1\r\n";

  private static ScriptedServer.Script answer(String line, boolean named) {
    return (request, out, socket) -> {
      String id = named ? "id: " + request.id() + "\r\n" : "";
      ScriptedServer.write(out, line + "\r\n" + id + "seal: s\r\nContent-Length: 5\r\n\r\nwrong");
    };
  }

  private static void answerWell(ScriptedServer.Request request, OutputStream out, Socket socket)
      throws IOException {
    ScriptedServer.write(out, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
    ScriptedServer.sendResponse(out, request, 200, "right");
  }

  /** Guards against a caller that gets an answer with an invalid status, as 000, of its server. */
  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 000 Error,true", "HTTP/1.1 000 Error,false",
    "HTTP/1.1 001 S,true", "HTTP/1.1 099 S,false",
    "HTTP/1.1 600 S,true", "HTTP/1.1 999 S,false",
    "HTTP/1.1 2000 S,true", "HTTP/1.1 0200 S,true",
    "HTTP/2.0 200 S,true", "HTTP/9.9 200 S,true"
  })
  void isNotPassedOn(String line, boolean named) throws Exception {
    configure(1, "k1");
    ScriptedServer plain = serve("plain", answer(line, named));
    serve("model", answer(line, named));

    String write = callAs("r1", "POST", "/write/x", KEY);
    assertThat(write).startsWith("HTTP/1.1 502");
    assertThat(write).doesNotContain("wrong");
    assertThat(plain.requests()).hasSize(1);
    assertThat(callAs("r2", "GET", "/read/x", KEY)).startsWith("HTTP/1.1 502");
    assertThat(callAs("r3", "POST", "/stream/x", KEY + "tokens: 9\r\n")).startsWith("HTTP/1.1 502");
  }

  /** Guards against failing a call that another server answers, and against its interim answers. */
  @Test
  void isReplacedByTheAnswerOfAnotherServer() throws Exception {
    configure(1, "k1");
    ScriptedServer failing = serve("plain", answer("HTTP/1.1 000 Error", true));
    while (failing.requests().isEmpty()) {
      call("GET", "/read/x", KEY);
    }
    serve("plain", GatewayInvalidStatusTest::answerWell);
    for (int i = 0; i < 5; i++) {
      String response = callAs("s" + i, "GET", "/read/x", KEY);
      assertThat(response).startsWith("HTTP/1.1 200");
      assertThat(response).endsWith("right");
    }
  }
}
