package org.basilport.answer;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Decodes responses with valid and invalid status lines. */
class StatusLineTest {
  private static final int FIRST_STATUS = 100;
  private static final int LAST_STATUS = 599;
  private static final String FIELDS = "\r\nContent-Length: 0\r\n\r\n";

  /** Decodes the bytes, in one read or byte by byte. */
  private static List<Object> decode(String bytes, boolean oneByOne) {
    EmbeddedChannel channel = new EmbeddedChannel(new SingleResponseDecoder(Optional.empty()));
    int length = oneByOne ? 1 : bytes.length();
    for (int i = 0; i < bytes.length(); i += length) {
      channel.writeInbound(
          Unpooled.copiedBuffer(bytes.substring(i, i + length), StandardCharsets.ISO_8859_1));
    }
    List<Object> messages = new ArrayList<>(channel.inboundMessages());
    channel.finishAndReleaseAll();
    return messages;
  }

  /** Guards against an answer with a status that no server may send, as 000. */
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
        "HTTP/1.1 200S",
        "HTTP/1.1 000",
        "HTTP/2.0 200 S",
        "HTTP/9.9 200 S",
        "HTTP/0.9 200 S",
        "HTTP/1.2 200 S"
      })
  void isNoResponse(String line) {
    for (boolean oneByOne : new boolean[] {false, true}) {
      List<Object> messages = decode(line + FIELDS, oneByOne);
      assertWithMessage("%s %s", line, messages).that(messages).hasSize(1);
      HttpMessage message = (HttpMessage) messages.get(0);
      assertWithMessage(line).that(message.decoderResult().isFailure()).isTrue();
    }
  }

  /** Guards against failing an answer of a sound server. */
  @Test
  void isAResponse() {
    for (int status = FIRST_STATUS; status <= LAST_STATUS; status++) {
      for (String line :
          List.of("HTTP/1.1 %s Reason", "HTTP/1.1 %s ", "HTTP/1.1 %s", "HTTP/1.0 %s 600 9")) {
        String bytes = String.format(line, status) + FIELDS;
        for (boolean oneByOne : new boolean[] {false, true}) {
          HttpResponse head = (HttpResponse) decode(bytes, oneByOne).get(0);
          assertWithMessage(bytes).that(head.decoderResult().isSuccess()).isTrue();
          assertWithMessage(bytes).that(head.status().code()).isEqualTo(status);
        }
      }
    }
  }

  /** Guards against checking the first response of a connection only, and against blank lines. */
  @Test
  void isCheckedForEachResponse() {
    String interim = "HTTP/1.1 100 Continue\r\n\r\n";
    List<Object> valid = decode(interim + "\r\nHTTP/1.1 200 OK" + FIELDS, true);
    assertWithMessage("%s", valid)
        .that(valid.stream().filter(HttpResponse.class::isInstance).count())
        .isEqualTo(2);

    List<Object> invalid = decode(interim + "HTTP/1.1 000 Error" + FIELDS, true);
    HttpMessage last = (HttpMessage) invalid.get(invalid.size() - 1);
    assertWithMessage("%s", invalid).that(last.decoderResult().isFailure()).isTrue();
  }
}
