package org.basilport.gateway.backend;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.message.ServerResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Writes answers with valid and invalid status lines to a connection. */
class InvalidStatusLinesTest {
  private static final String NAMED = "id: r1\r\nseal: s\r\n";
  private static final String FIELDS = "Content-Length: 2\r\n\r\nok";

  private static List<String> receive(String bytes) {
    List<String> log = new ArrayList<>();
    BackendConnection connection =
        new BackendConnection(new TestCodec(), idle -> log.add("idle"), new NoObservation());
    EmbeddedChannel channel = new EmbeddedChannel(connection.handlers());
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a/"),
        "r1",
        new Recorder(log));
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    log.add(channel.isOpen() ? "open" : "closed");
    channel.finishAndReleaseAll();
    return log;
  }

  private record Recorder(List<String> log) implements ResponseListener {
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
      log.add("failed");
    }
  }

  /** Guards against an answer with an invalid status line, and a connection that is used again. */
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
  void failTheRequest(String line) {
    for (String id : List.of("", NAMED)) {
      assertWithMessage("%s %s", line, id)
          .that(receive(line + "\r\n" + id + FIELDS))
          .containsExactly("failed", "closed")
          .inOrder();
    }
  }

  /** Guards against failing answers of sound servers, with interim ones. */
  @Test
  void passWhereTheyAreValid() {
    String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\n";
    for (int status : new int[] {200, 299, 300, 404, 500, 599}) {
      assertWithMessage("%s", status)
          .that(receive(interim + "HTTP/1.1 " + status + " S\r\n" + NAMED + FIELDS))
          .containsExactly("head " + status, "ok", "idle", "complete", "open");
    }
  }
}
