package org.basilport.gateway.backend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.message.ServerNotice;
import org.basilport.gateway.message.ServerResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Writes the responses of faulty servers to a connection. */
class BackendConnectionTest {
  private final List<BackendConnection> idle = new ArrayList<>();
  private final List<String> leavingToldBy = new ArrayList<>();
  private final List<AnswerProblem> problems = new ArrayList<>();
  private final Recorder recorder = new Recorder();
  private final BackendConnection connection =
      new BackendConnection(
          new TestCodec(),
          idle::add,
          new ServerAnswerListener() {
            @Override
            public void onNotice(String requestId, ServerNotice notice) {
              if (notice.leaving()) {
                leavingToldBy.add(requestId);
              }
            }

            @Override
            public void onProblem(AnswerProblem problem) {
              problems.add(problem);
            }
          });
  private final EmbeddedChannel channel = new EmbeddedChannel(connection.handlers());

  @BeforeEach
  void sendRequest() {
    connection.send(request(), "r1", recorder);
  }

  @AfterEach
  void releaseBuffers() {
    channel.finishAndReleaseAll();
  }

  private static FullHttpRequest request() {
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a/");
  }

  private void receive(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
  }

  /** Guards against taking a late second response for the response to the next request. */
  @Test
  void discardsResponsesToOtherRequests() {
    receive("HTTP/1.1 200 OK\r\nid: r0\r\nseal: s\r\nContent-Length: 3\r\n\r\nold");
    assertThat(recorder.log).isEmpty();
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nnew");

    assertThat(recorder.log).containsExactly("head 200", "new", "complete").inOrder();
    assertThat(idle).containsExactly(connection);
  }

  /** Guards against excess bytes after a response that would be parsed as the next response. */
  @Test
  void closesAnIdleConnectionThatReceivesBytes() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nnew");
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nnew");

    assertThat(channel.isOpen()).isFalse();
    assertThat(recorder.log).containsExactly("head 200", "new", "complete");
  }

  /** Guards against taking a truncated response for a complete one. */
  @Test
  void reportsTruncatedResponses() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 9\r\n\r\nnew");
    channel.close();

    assertThat(recorder.log).contains("broken");
    assertThat(recorder.log).doesNotContain("complete");
  }

  /**
   * Guards against rejecting a complete response that is delimited by the end of the connection.
   */
  @Test
  void acceptsResponsesDelimitedByClose() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\nnew");
    channel.close();

    assertThat(recorder.log).containsExactly("head 200", "new", "complete").inOrder();
    assertThat(idle).isEmpty();
  }

  /** Guards against taking a reset for the end of a response without a length. */
  @Test
  void reportsAResetWithinAResponseWithoutLength() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\nnew");
    channel.pipeline().fireExceptionCaught(new java.io.IOException("Connection reset by peer"));

    assertThat(recorder.log).contains("broken");
    assertThat(recorder.log).doesNotContain("complete");
  }

  /** Guards against bytes that are not an HTTP response. */
  @Test
  void reportsInvalidBytes() {
    receive("garbage garbage garbage\r\n\r\n");

    assertThat(recorder.log).containsExactly("broken");
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against bytes that belong to no request and leave no trace. */
  @Test
  void reportsBytesWithoutARequest() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nnew");
    receive("HTTP/1.1 500 S\r\nid: r1\r\nContent-Length: 0\r\n\r\n");

    assertThat(problems)
        .containsExactly(new AnswerProblem("r1", false, 200, 103, 1, "bytes without a request"));
  }

  /** Guards against the beginning of a late second answer that the next answer continues. */
  @Test
  void closesAnIdleConnectionAtTheFirstByte() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nnew");
    receive("H");

    assertThat(channel.isOpen()).isFalse();
    assertThat(problems).hasSize(1);
  }

  /** Guards against reusing a connection on which another answer has begun. */
  @Test
  void doesNotReuseAConnectionWithBytesAfterTheAnswer() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nnewHTTP/1.1 2");

    assertThat(recorder.log).containsExactly("head 200", "new", "complete").inOrder();
    assertThat(idle).isEmpty();
    assertThat(channel.isOpen()).isFalse();
    assertThat(problems).hasSize(1);
  }

  /** Guards against an answer that stops in its head and leaves no trace. */
  @Test
  void reportsAHeadThatStops() {
    receive("HTTP/1.1 200 OK\r\nid: r");
    channel.close();

    assertThat(problems).hasSize(1);
    assertThat(problems.get(0).waiting()).isTrue();
    assertThat(problems.get(0).status()).isEqualTo(0);
    assertThat(problems.get(0).receivedBytes()).isEqualTo(22);
  }

  /** Guards against reusing a connection that the server closes. */
  @Test
  void doesNotReuseAConnectionThatTheServerCloses() {
    receive(
        "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");

    assertThat(idle).isEmpty();
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against taking a late failure without an id for the response to the next request. */
  @Test
  void rejectsAResponseWithoutAnIdOnAReusedConnection() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nnew");
    Recorder next = new Recorder();
    connection.send(request(), "r2", next);
    receive("HTTP/1.1 503 S\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n");

    assertThat(next.log).containsExactly("broken");
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against a second request whose response is never read. */
  @Test
  void resumesReadingForTheNextRequest() {
    receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nne");
    connection.setReading(false);
    receive("w");

    assertThat(idle).containsExactly(connection);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  /** Guards against reading the departure of a server from some kinds of answers only. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nleaves: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nleaves: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nleaves: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 429 S\r\nid: r1\r\nnot-run: 1\r\nleaves: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 S\r\nleaves: 1\r\n\r\n",
        "HTTP/1.1 500 S\r\nid: r1\r\nleaves: 1\r\nContent-Length: 0\r\n\r\n"
      })
  void reportsTheDepartureOfTheServer(String answer) {
    receive(answer);

    assertThat(leavingToldBy).containsExactly("r1");
  }

  /** Guards against a departure that another server at the address of this one tells. */
  @Test
  void ignoresTheDepartureOfAnotherServer() {
    receive("HTTP/1.1 421 S\r\nid: r1\r\nleaves: 1\r\nContent-Length: 0\r\n\r\n");

    assertThat(leavingToldBy).isEmpty();
  }

  /** Answers that do not end until the caller closes the connection. */
  @Nested
  class EndlessAnswers {
    private static final int ENOUGH = 10_000;

    private void receiveWhileOpen(String bytes) {
      for (int i = 0; i < ENOUGH && channel.isOpen(); i++) {
        receive(bytes);
      }
    }

    /** Guards against waiting for the end of a second answer to an earlier request. */
    @Test
    void closesWithinADiscardedAnswer() {
      receive("HTTP/1.1 200 OK\r\nid: r0\r\nseal: s\r\n\r\n");
      receiveWhileOpen("x".repeat(1_000));

      assertThat(channel.isOpen()).isFalse();
      assertThat(recorder.log).containsExactly("broken");
    }

    /** Guards against interim responses that are repeated for ever. */
    @Test
    void closesAfterManyInterimResponses() {
      receiveWhileOpen("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n");

      assertThat(channel.isOpen()).isFalse();
      assertThat(recorder.log).containsExactly("broken");
    }

    /** Guards against bytes before or beside an answer that are repeated for ever, in pieces. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "\r\n",
          "     ",
          "HTTP/1.1 200 OK\r\nid: r0\r\nseal: s\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 204 OK\r\nid: r0\r\nseal: s\r\n\r\n",
        })
    void closesAfterManyPartsWithoutAnAnswer(String part) {
      receiveWhileOpen(part.repeat(20));

      assertThat(channel.isOpen()).isFalse();
      assertThat(recorder.log).containsExactly("broken");
    }

    /** Guards against tiny chunks with long extensions, which never end the answer. */
    @Test
    void closesAfterManyChunkExtensions() {
      receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nTransfer-Encoding: chunked\r\n\r\n");
      receiveWhileOpen("1;" + "x".repeat(100) + "\r\ny\r\n");

      assertThat(channel.isOpen()).isFalse();
      assertThat(recorder.log).contains("broken");
    }

    /** Guards against taking an answer in tiny chunks for a faulty one. */
    @Test
    void acceptsTinyChunks() {
      receive("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 0; i < 100_000; i++) {
        receive("1\r\ny\r\n");
      }
      receive("0\r\n\r\n");

      assertThat(recorder.log).contains("complete");
    }

    /** Guards against a head, chunk extension or trailer that grows without limit. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 ",
          "HTTP/1.1 200 OK\r\nid: r1\r\n",
          "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
          "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        })
    void closesWithinAnEndlessPart(String start) {
      receive(start);
      receiveWhileOpen(start.endsWith("\r\n") ? "name: value\r\n" : "x".repeat(100));

      assertThat(channel.isOpen()).isFalse();
      assertThat(recorder.log).contains("broken");
      assertThat(recorder.log).doesNotContain("complete");
    }
  }

  /** Records the events of a response. */
  private static final class Recorder implements ResponseListener {
    private final List<String> log = new ArrayList<>();

    @Override
    public void onHead(ServerResponse response, HttpResponse head) {
      log.add("head " + response.status());
    }

    @Override
    public void onContent(ByteBuf content) {
      log.add(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onComplete() {
      log.add("complete");
    }

    @Override
    public void onFailure(String reason) {
      log.add("broken");
    }
  }
}
