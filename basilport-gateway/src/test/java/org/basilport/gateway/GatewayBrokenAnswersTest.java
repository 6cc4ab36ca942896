package org.basilport.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that stop, at the side of the server and at that of the caller. */
class GatewayBrokenAnswersTest extends GatewayFixture {
  private static final String HEAD = "HTTP/1.1 200 S\r\nid: r1\r\nseal: s\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String EVENT_TYPE = "Content-Type: text/event-stream\r\n";
  private static final String EVENT = "id: 1\ndata: part\n\n";
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  /** How a server that stops ends its connection. */
  private enum End {
    CLOSE,
    RESET;

    void end(Socket socket) throws IOException {
      if (this == RESET) {
        socket.setSoLinger(true, 0);
        socket.close();
      } else {
        socket.shutdownOutput();
      }
    }
  }

  /** What a caller received until the end or the reset of its connection. */
  private record Received(String bytes, boolean reset) {
    int status() {
      return Integer.parseInt(bytes.substring(9, 12));
    }

    String body() {
      return bytes.substring(bytes.indexOf("\r\n\r\n") + 4);
    }

    /** Whether the caller must take the answer for a whole one. */
    boolean framedAsWhole() {
      int end = bytes.indexOf("\r\n\r\n");
      if (end < 0) {
        return false;
      }
      String head = bytes.substring(0, end).toLowerCase(Locale.ROOT);
      int length = head.indexOf("content-length: ");
      if (length >= 0) {
        String value = head.substring(length + 16).split("\r\n")[0];
        return body().length() == Integer.parseInt(value);
      }
      return head.contains("transfer-encoding: chunked") ? body().endsWith("0\r\n\r\n") : !reset;
    }
  }

  private Socket connect(String method, String target, String headers) throws IOException {
    Socket socket = new Socket(frontend.getAddress(), frontend.getPort());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    String request =
        method
            + " "
            + target
            + " HTTP/1.1\r\nhost: h\r\nid: r1\r\nConnection: close\r\nkey: k1\r\n";
    socket
        .getOutputStream()
        .write((request + headers + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    return socket;
  }

  private static Received receive(Socket socket) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    boolean reset = false;
    try (socket) {
      InputStream in = socket.getInputStream();
      for (int next = in.read(); next >= 0; next = in.read()) {
        bytes.write(next);
      }
    } catch (SocketException e) {
      reset = true;
    }
    return new Received(bytes.toString(StandardCharsets.ISO_8859_1), reset);
  }

  private Received receive(String method, String target, String headers) throws IOException {
    return receive(connect(method, target, headers));
  }

  private static ScriptedServer.Script stopAfter(String bytes, End end) {
    return (request, out, socket) -> {
      ScriptedServer.write(out, bytes);
      end.end(socket);
    };
  }

  private static Stream<Arguments> withEachEnd(List<String> parts) {
    return parts.stream()
        .flatMap(part -> Stream.of(End.values()).map(end -> Arguments.of(part, end)));
  }

  @Nested
  class Calls {
    static Stream<Arguments> parts() {
      return withEachEnd(
          List.of(
              "HTTP/1.1 200",
              "HTTP/1.1 200 S\r",
              "HTTP/1.1 200 S\r\n",
              "HTTP/1.1 200 S\r\nid: r1\r\nsea",
              HEAD,
              HEAD + "\r",
              HEAD + "Content-Length: 9",
              HEAD + "Content-Length: 9\r\n",
              HEAD + "Content-Length: 9\r\n\r",
              HEAD + "Content-Length: 9\r\n\r\n",
              HEAD + "Content-Length: 9\r\n\r\npart",
              HEAD + "Transfer-Encoding: chunk",
              HEAD + "Transfer-Encoding: chunked\r\n",
              CHUNKED,
              CHUNKED + "4",
              CHUNKED + "4\r\n",
              CHUNKED + "4\r\npa",
              CHUNKED + "4\r\npart",
              CHUNKED + "4\r\npart\r\n",
              CHUNKED + "4\r\npart\r\n0",
              CHUNKED + "4\r\npart\r\n0\r\n",
              CHUNKED + "4\r\npart\r\n0\r\nname: val"));
    }

    /** Guards against an empty or short body of a server that stopped, framed as whole. */
    @ParameterizedTest
    @MethodSource("parts")
    void areNotAnsweredWithAPartOfAnAnswer(String part, End end) throws Exception {
      configure(1, "k1");
      serve("plain", stopAfter(part, end));

      for (String method : List.of("POST /write/x", "GET /read/x")) {
        Received received = receive(method.split(" ")[0], method.split(" ")[1], "");
        assertWithMessage(received.bytes()).that(received.status()).isAtLeast(502);
        assertThat(received.bytes()).doesNotContain("seal");
        assertThat(received.body()).doesNotContain("part");
        assertThat(received.framedAsWhole()).isTrue();
      }
    }

    /** Guards against a body that was reset and has no length, framed as whole. */
    @Test
    void areNotAnsweredWithABodyThatWasReset() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) -> {
            ScriptedServer.write(out, HEAD + "\r\npart");
            Thread.sleep(50);
            End.RESET.end(socket);
          });

      assertThat(receive("POST", "/write/x", "").status()).isEqualTo(502);
    }

    /** Guards against the success of a server that stopped after its head, framed as whole. */
    @ParameterizedTest
    @ValueSource(strings = {"POST /write/x", "GET /read/x"})
    void areNotAnsweredWithAHeadAlone(String request) throws Exception {
      configure(1, "k1");
      serve("plain", stopAfter(HEAD + "\r\n", End.CLOSE));

      Received received = receive(request.split(" ")[0], request.split(" ")[1], "");
      assertWithMessage(received.bytes()).that(received.status()).isAtLeast(502);
      assertThat(received.bytes()).doesNotContain("seal");
    }

    /** Guards against refusing an empty success whose head says that it is empty. */
    @ParameterizedTest
    @ValueSource(
        strings = {"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"})
    void mayBeAnsweredWithAnEmptyBody(String framing) throws Exception {
      configure(1, "k1");
      serve("plain", stopAfter(HEAD + framing, End.CLOSE));

      Received received = receive("POST", "/write/x", "");
      assertThat(received.status()).isEqualTo(200);
      assertThat(received.body()).isEmpty();
    }

    /** Guards against waiting for the end of a body that the status rules out. */
    @ParameterizedTest
    @ValueSource(ints = {204, 304})
    void mayBeAnsweredWithoutABody(int status) throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) -> {
            String head =
                "HTTP/1.1 " + status + " S\r\nid: " + request.id() + "\r\nseal: s\r\n\r\n";
            ScriptedServer.write(out, head);
          });

      for (String id : List.of("r1", "r2")) {
        assertThat(callAs(id, "POST", "/write/x", "key: k1\r\n")).startsWith("HTTP/1.1 " + status);
      }
      assertThat(servers.get(0).connections()).isEqualTo(1);
    }

    /** Guards against replacing the failure of a server by one of the gateway's own. */
    @Test
    void mayBeAnsweredWithAFailureThatIsAHeadAlone() throws Exception {
      configure(1, "k1");
      serve("plain", stopAfter(HEAD.replace("200", "500") + "\r\n", End.CLOSE));

      assertThat(receive("POST", "/write/x", "").status()).isEqualTo(500);
    }
  }

  @Nested
  class Streams {
    static Stream<Arguments> parts() {
      String chunk = Integer.toHexString(EVENT.length()) + "\r\n" + EVENT;
      String sized = HEAD + EVENT_TYPE + "Content-Length: 100\r\n\r\n";
      return withEachEnd(
          List.of(
              HEAD + EVENT_TYPE,
              CHUNKED,
              CHUNKED + chunk.substring(0, chunk.length() - 1),
              CHUNKED + chunk,
              CHUNKED + chunk + "\r\n",
              CHUNKED + chunk + "\r\n" + chunk.substring(0, 9),
              CHUNKED + chunk + "\r\n0",
              CHUNKED + chunk + "\r\n0\r\n",
              sized,
              sized + EVENT));
    }

    /** Guards against an empty or short stream of a server that stopped, framed as whole. */
    @ParameterizedTest
    @MethodSource("parts")
    void areNotEndedByAServerThatStops(String part, End end) throws Exception {
      configure(1, "k1");
      serve("model", stopAfter(part, end));

      for (String target : List.of("/stream/x", "/resume/x")) {
        Received received = receive("POST", target, "tokens: 100\r\n");
        boolean success = received.bytes().startsWith("HTTP/1.1 200");
        assertWithMessage(received.bytes()).that(success && received.framedAsWhole()).isFalse();
      }
    }

    /** Guards against a stream without a length that was reset, framed as whole. */
    @Test
    void areNotEndedByAReset() throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.write(out, HEAD + EVENT_TYPE + "\r\n" + EVENT);
            Thread.sleep(50);
            End.RESET.end(socket);
          });

      assertThat(receive("POST", "/stream/x", "tokens: 100\r\n").framedAsWhole()).isFalse();
    }

    /**
     * Guards against the end of a resumed stream that is only the head of a server that stopped.
     */
    @Test
    void areNotEndedByAHeadAlone() throws Exception {
      AtomicInteger sends = new AtomicInteger();
      ScriptedServer.Script script =
          (request, out, socket) -> {
            if (sends.incrementAndGet() == 1) {
              ScriptedServer.startStream(out, request);
              ScriptedServer.writeEvents(out, 1, 3);
            } else {
              ScriptedServer.write(out, HEAD + EVENT_TYPE + "\r\n");
            }
            End.CLOSE.end(socket);
          };
      configure(1, "k1");
      serve("model", script);
      serve("model", script);
      serve("model", script);

      Received received = receive("POST", "/resume/x", "tokens: 100\r\n");
      assertThat(sends.get()).isAtLeast(2);
      assertThat(received.bytes()).contains("data: t3");
      assertWithMessage(received.bytes()).that(received.framedAsWhole()).isFalse();
    }
  }

  @Nested
  class Instances {
    private static final int BODY_BYTES = 8_000_000;

    private final CountDownLatch written = new CountDownLatch(1);

    private void replaceInstance() throws Exception {
      gateway.stop().get(5, TimeUnit.SECONDS);
      start();
    }

    /** Guards against a stream that looks whole when the instance ends within it. */
    @Test
    void endWithoutTheEndOfAStream() throws Exception {
      configure(1, "k1");
      serve(
          "model",
          (request, out, socket) -> {
            ScriptedServer.startStream(out, request);
            ScriptedServer.writeEvents(out, 1, 1);
            written.countDown();
            Thread.sleep(READ_TIMEOUT_MILLIS);
          });
      Socket caller = connect("POST", "/stream/x", "tokens: 100\r\n");
      assertThat(written.await(5, TimeUnit.SECONDS)).isTrue();
      assertThat(caller.getInputStream().read()).isEqualTo('H');
      replaceInstance();

      assertThat(receive(caller).bytes()).doesNotContain("\r\n0\r\n");
    }

    /** Guards against a call whose body looks whole when the instance ends within it. */
    @Test
    void endWithinABodyThatHasALength() throws Exception {
      configure(1, "k1");
      serve(
          "plain",
          (request, out, socket) -> {
            ScriptedServer.sendResponse(out, request, 200, "x".repeat(BODY_BYTES));
            written.countDown();
          });
      Socket caller = connect("POST", "/write/x", "");
      assertThat(written.await(5, TimeUnit.SECONDS)).isTrue();
      char first = (char) caller.getInputStream().read();
      replaceInstance();

      Received rest = receive(caller);
      Received received = new Received(first + rest.bytes(), rest.reset());
      assertThat(received.status()).isEqualTo(200);
      assertThat(received.body().length()).isLessThan(BODY_BYTES);
      assertThat(received.framedAsWhole()).isFalse();
    }
  }
}
