package org.basilport.gateway.frontend;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.basilport.gateway.config.FrontendLimits;
import org.basilport.gateway.forward.ResponseChannel;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Writes the bytes of callers to a connection. */
class CallerConnectionTest {
  private static final FrontendLimits LIMITS =
      new FrontendLimits(400, 64, Duration.ofSeconds(3), Duration.ofSeconds(15));

  private final List<String> received = new ArrayList<>();
  private final List<ResponseChannel> callers = new ArrayList<>();
  private boolean respondImmediately = true;
  private boolean disconnected;
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new StrictRequestDecoder(LIMITS.maxHeaderBytes()),
          new HttpResponseEncoder(),
          new CallerConnection(
              new RecordingHandler(), LIMITS, new HeaderTimeoutHandler(LIMITS.headerTimeout())));

  private String send(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    return written();
  }

  private String written() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }
    return text.toString();
  }

  @Nested
  class Ambiguous {
    /** Guards against request smuggling. */
    @Test
    void rejectsRequestsWhoseLengthIsAmbiguous() {
      for (String headers :
          List.of(
              "Content-Length: 3\r\nContent-Length: 4\r\n",
              "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
              "Transfer-Encoding: gzip, chunked\r\n",
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
              "Content-Length: +3\r\n",
              "Content-Length : 3\r\n")) {
        CallerConnectionTest other = new CallerConnectionTest();
        String response = other.send("POST /a/ HTTP/1.1\r\nHost: h\r\n" + headers + "\r\nabc");

        assertThat(response).startsWith("HTTP/1.1 400");
        assertThat(other.received).isEmpty();
        assertThat(other.channel.isOpen()).isFalse();
      }
    }

    /** Guards against bare line feeds, which some parsers accept as line terminators. */
    @Test
    void rejectsBareLineFeeds() {
      assertThat(send("GET /a/ HTTP/1.1\nHost: h\n\n")).startsWith("HTTP/1.1 400");
      assertThat(received).isEmpty();
    }
  }

  @Nested
  class Limits {
    /** Guards against unbounded memory for headers and bodies. */
    @Test
    void rejectsTooLargeRequests() {
      String longHeader = "X: " + "x".repeat(500) + "\r\n";
      assertThat(send("GET /a/ HTTP/1.1\r\nHost: h\r\n" + longHeader + "\r\n"))
          .startsWith("HTTP/1.1 431");
      CallerConnectionTest other = new CallerConnectionTest();
      assertThat(other.send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"))
          .startsWith("HTTP/1.1 413");
      assertThat(other.channel.isOpen()).isFalse();
    }

    /** Guards against a head, chunk extension or trailer of a caller that grows without limit. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "GET /a/",
          "GET /a/ HTTP/1.1\r\nHost: h\r\n",
          "GET /a/ HTTP/1.1\r\nHost: h\r\na: ",
          "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;",
          "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        })
    void closesWithinAnEndlessPart(String start) {
      StringBuilder response = new StringBuilder(send(start));
      for (int i = 0; i < 1_000 && channel.isOpen(); i++) {
        response.append(send(start.endsWith("\r\n") ? "name: value\r\n" : "x".repeat(100)));
      }

      assertThat(channel.isOpen()).isFalse();
      assertThat(response.toString()).startsWith("HTTP/1.1 4");
      assertThat(received).isEmpty();
    }
  }

  @Nested
  class Order {
    /** Guards against reordered responses on one connection. */
    @Test
    void processesPipelinedRequestsInOrder() {
      respondImmediately = false;
      send("GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /a/2 HTTP/1.1\r\nHost: h\r\n\r\n");
      assertThat(received).containsExactly("/a/1 ");
      callers.get(0).send(200, new DefaultHttpHeaders(), new byte[0]);
      assertThat(received).containsExactly("/a/1 ", "/a/2 ").inOrder();
    }

    /** Guards against forwarding an incomplete body. */
    @Test
    void joinsChunksOfABody() {
      String response =
          send(
              "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                  + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");

      assertThat(received).containsExactly("/a/ abcde");
      assertThat(response).startsWith("HTTP/1.1 200");
      assertThat(channel.isOpen()).isTrue();
    }

    /** Guards against continuing work for a caller that has disconnected. */
    @Test
    void reportsThatTheCallerDisconnected() {
      respondImmediately = false;
      send("GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n");
      channel.close();

      assertThat(disconnected).isTrue();
    }

    /** Guards against an incomplete response that appears complete. */
    @Test
    void abortsWithoutTheFinalChunk() {
      respondImmediately = false;
      send("GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n");
      callers.get(0).startResponse(200, new DefaultHttpHeaders());
      callers.get(0).write(Unpooled.copiedBuffer("data", StandardCharsets.UTF_8));
      callers.get(0).abort();

      assertThat(written()).doesNotContain("\r\n0\r\n");
      assertThat(channel.isOpen()).isFalse();
    }
  }

  /** Records requests and responds to them. */
  private final class RecordingHandler implements RequestHandler {
    @Override
    public CallerConnectionListener receive(HttpRequest head, byte[] body, ResponseChannel caller) {
      received.add(head.uri() + " " + new String(body, StandardCharsets.UTF_8));
      callers.add(caller);
      if (respondImmediately) {
        caller.send(200, new DefaultHttpHeaders(), new byte[0]);
        return CallerConnectionListener.NONE;
      }
      return new CallerConnectionListener() {
        @Override
        public void onCallerDisconnected() {
          disconnected = true;
        }

        @Override
        public void onWritabilityChanged(boolean writable) {}
      };
    }

    @Override
    public boolean draining() {
      return false;
    }
  }
}
