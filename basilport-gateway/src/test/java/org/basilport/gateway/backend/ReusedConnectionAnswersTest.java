package org.basilport.gateway.backend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.answer.SingleResponseDecoder;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.message.ServerResponse;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Late second answers on a connection that carries the next request. */
class ReusedConnectionAnswersTest {
  private static final String FIRST =
      "HTTP/1.1 200 OK\r\nid: r0\r\nseal: s0\r\nContent-Length: 5\r\n\r\nfirst";

  private static final List<String> LATE =
      List.of(
          FIRST,
          "HTTP/1.1 200 OK\r\nid: r0\r\nseal: s0\r\nContent-Length: 12\r\n\r\nends with OH",
          "HTTP/1.1 200 OK\r\nid: r0\r\nseal: s0\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "5\r\nfirst\r\n3\r\n in\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nid: r0\r\nseal: s0\r\n\r\nuntil the end",
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull",
          "HTTP/1.1 204 No Content\r\nid: r0\r\nseal: s0\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nid: r0\r\n\r\n");

  private static final List<String> OWN =
      List.of(
          "HTTP/1.1 500 Internal Server Error\r\nid: r1\r\nseal: s1\r\n"
              + "Content-Length: 3\r\n\r\nown",
          "HTTP/1.1 500 Internal Server Error\r\nid: r1\r\nseal: s1\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n");

  /** Guards against an answer that begins with a part of the late one before it. */
  @ParameterizedTest
  @ValueSource(ints = {0, 50})
  void areNeverMixed(int pauseMillis) {
    List<String> mixed = new ArrayList<>();
    for (String late : LATE) {
      for (int cut = 1; cut <= late.length(); cut++) {
        for (String own : OWN) {
          for (List<String> reads : splits(late.substring(0, cut), own)) {
            Recorder received = receive(reads, pauseMillis);
            if (received.complete && !received.holds("500 s1 own")) {
              mixed.add(received + ": " + reads);
            }
          }
        }
      }
    }
    assertWithMessage("%s mixed answers, the first ones", mixed.size())
        .that(mixed.subList(0, Math.min(5, mixed.size())))
        .isEmpty();
  }

  /** Guards against a late answer that hides the next one until its deadline. */
  @Test
  void areNotHidden() {
    List<String> undecided = new ArrayList<>();
    for (String late : LATE) {
      for (int cut = 1; cut <= late.length(); cut++) {
        for (String own : OWN) {
          for (List<String> reads : splits(late.substring(0, cut), own)) {
            if (!receive(reads, 0).decided) {
              undecided.add(reads.toString());
            }
          }
        }
      }
    }
    assertWithMessage("%s answers hidden, the first ones", undecided.size())
        .that(undecided.subList(0, Math.min(5, undecided.size())))
        .isEmpty();
  }

  /** Guards against failing an answer since a whole one to an earlier request precedes it. */
  @Test
  void areNotFailedAfterAWholeLateAnswer() {
    List<String> failed = new ArrayList<>();
    for (String late : LATE.subList(0, 3)) {
      for (String own : OWN) {
        for (List<String> reads : splits(late, own)) {
          Recorder received = receive(reads, 0);
          if (!received.complete) {
            failed.add(received.failure + ": " + reads);
          }
        }
      }
    }
    assertWithMessage("%s whole answers failed, the first ones", failed.size())
        .that(failed.subList(0, Math.min(5, failed.size())))
        .isEmpty();
  }

  private static List<List<String>> splits(String late, String own) {
    String bytes = late + own;
    List<List<String>> splits = new ArrayList<>();
    splits.add(List.of(bytes));
    splits.add(List.of(late, own));
    splits.add(bytes.chars().mapToObj(value -> String.valueOf((char) value)).toList());
    for (int i = 3; i < bytes.length(); i += 11) {
      splits.add(List.of(bytes.substring(0, i), bytes.substring(i)));
    }
    return splits;
  }

  private static Recorder receive(List<String> reads, int pauseMillis) {
    List<BackendConnection> idle = new ArrayList<>();
    BackendConnection connection =
        new BackendConnection(new TestCodec(), idle::add, new NoObservation());
    EmbeddedChannel channel = new EmbeddedChannel(connection.handlers());
    channel.freezeTime();
    connection.send(request(), "r0", new Recorder());
    channel.writeInbound(buffer(FIRST));
    assertThat(idle).hasSize(1);
    Recorder received = new Recorder();
    connection.send(request(), "r1", received);
    for (String read : reads) {
      if (channel.isOpen()) {
        channel.writeInbound(buffer(read));
        channel.advanceTimeBy(pauseMillis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
      }
    }
    channel.advanceTimeBy(1, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    received.decided = received.complete || !received.failure.isEmpty();
    channel.finishAndReleaseAll();
    return received;
  }

  private static DefaultFullHttpRequest request() {
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a/");
  }

  private static ByteBuf buffer(String bytes) {
    return Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
  }

  @Nested
  class Decoders {
    private final EmbeddedChannel channel =
        new EmbeddedChannel(new SingleResponseDecoder(Optional.of(AsciiString.of("id"))));

    /** Guards against a failure that is told twice, as a message and as an exception. */
    @Test
    void tellAFailureOnceAfterAHeldEnd() {
      channel.writeInbound(buffer("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 3\r\n\r\nOOH"));
      channel.writeInbound(buffer("TTP/1.1 500 S\r\n"));
      channel.checkException();
    }

    /** Guards against content that is never released. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "OOH",
          "OOHTTP/1.1 500 S\r\nid: r1\r\n\r\n",
          "HTTP/1.1 500 S\r\nid: r1\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 500 S\r\na: b\r\n"
        })
    void releaseWhatTheyRead(String body) {
      ByteBuf bytes =
          buffer(
              "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
      ByteBuf further = buffer("more");
      channel.writeInbound(bytes);
      try {
        channel.writeInbound(further);
      } catch (RuntimeException e) {
        assertThat(e).hasMessageThat().contains("did not read anything");
      }
      channel.finishAndReleaseAll();

      assertThat(bytes.refCnt()).isEqualTo(0);
      assertThat(further.refCnt()).isEqualTo(0);
    }
  }

  private static final class Recorder implements ResponseListener {
    private final StringBuilder text = new StringBuilder();
    private boolean complete;
    private boolean decided;
    private String failure = "";

    @Override
    public void onHead(ServerResponse response, HttpResponse head) {
      text.append(response.status()).append(' ').append(head.headers().get("seal")).append(' ');
    }

    @Override
    public void onContent(ByteBuf content) {
      text.append(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onComplete() {
      complete = true;
    }

    @Override
    public void onFailure(String reason) {
      failure = reason;
    }

    boolean holds(String expected) {
      return text.toString().equals(expected);
    }

    @Override
    public String toString() {
      return text.toString();
    }
  }
}
