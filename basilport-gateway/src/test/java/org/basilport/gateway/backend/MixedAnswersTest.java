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
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.basilport.gateway.TestCodec;
import org.basilport.gateway.message.ServerResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Cuts an answer at each byte, lets another one follow, and splits the bytes into reads. */
class MixedAnswersTest {
  private static final String OWN = "id: r1\r\nseal: s1\r\n";
  private static final String OTHER = "id: r0\r\nseal: s0\r\n";

  /** Positions of the reads that are tried for each cut. */
  private static final int SPLIT_STEP = 7;

  private static final List<Answer> FIRST =
      List.of(
          Answer.withLength(200, "OK", OWN, "first body, thirty bytes long."),
          Answer.withLength(200, "", "Content-Type: text/plain\r\n" + OWN, "ends with H"),
          Answer.chunked(200, "OK", OWN, "first", " body in three", " chunks"),
          Answer.untilClose(200, "OK", OWN, "first body until the end"),
          Answer.withLength(500, "Internal Server Error", OWN, "failed"),
          Answer.withLength(200, "OK", OTHER, "body of the request before"),
          Answer.chunked(200, "OK", OTHER, "body of the", " request before"),
          Answer.withLength(200, "OK", OWN, "x".repeat(150)));

  private static final List<Answer> NEXT =
      List.of(
          Answer.NONE,
          Answer.withLength(500, "Internal Server Error", OWN, "second answer"),
          Answer.withLength(200, "OK", OWN, "second answer"),
          Answer.chunked(200, "OK", OWN, "second answer", " in chunks"),
          Answer.withLength(503, "Service Unavailable", OWN + "not-run: 1\r\n", ""),
          Answer.withLength(200, "OK", OTHER, "second answer to the request before"),
          Answer.untilClose(500, "Internal Server Error", OWN, "second answer"),
          Answer.withLength(500, "", "", "an answer without an id"),
          Answer.chunked(500, "", "", "an answer without an id"));

  /** Guards against an answer to the caller that is made of two, or of a part of one. */
  @Test
  void areNeverPassedOn() {
    List<String> mixed = new ArrayList<>();
    int plays = 0;
    for (Answer first : FIRST) {
      for (Answer next : NEXT) {
        for (int cut = 0; cut <= first.bytes().length(); cut++) {
          String bytes = first.bytes().substring(0, cut) + next.bytes();
          boolean whole = cut == first.bytes().length();
          for (List<String> reads : splits(bytes, cut)) {
            plays++;
            Received received = receive(reads);
            if (!received.isAllowed(first, whole, next)) {
              mixed.add(received + " after " + first.status() + " cut at " + cut + ": " + reads);
            }
          }
        }
      }
    }
    assertWithMessage("%s mixed answers in %s plays, the first ones", mixed.size(), plays)
        .that(mixed.subList(0, Math.min(5, mixed.size())))
        .isEmpty();
  }

  /** Guards against taking the text of a head within a body for another answer. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "ends with H",
        "ends with HTTP/1.1 500",
        "ends with HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n",
        "a head: HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nhi, and more",
        "a head: HTTP/1.1 500 S\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n, and more",
        "data: HTTP/1.1 404 Not Found\nid: 5\n\ndata: is the answer to\nid: 6\n\n",
        "HTTP/1.1 200 OK, the request has succeeded\r\n\r\nHTTP/1.1 500, it has not\r\n"
      })
  void areNotSeenInWholeAnswers(String body) {
    for (Answer answer :
        List.of(
            Answer.withLength(200, "OK", OWN, body),
            Answer.chunked(200, "OK", OWN, body + "."),
            Answer.untilClose(200, "OK", OWN, "body: " + body))) {
      for (List<String> reads : splits(answer.bytes(), 0)) {
        Received received = receive(reads);
        assertWithMessage("%s", reads).that(received.complete).isTrue();
        assertWithMessage("%s", reads).that(received.equalTo(answer)).isTrue();
      }
    }
  }

  /** Guards against failing a whole answer because of bytes that follow it. */
  @Test
  void areNotSeenInFollowingBytes() {
    Answer first = Answer.withLength(200, "OK", OWN, "whole");
    for (Answer next : NEXT) {
      for (List<String> reads : splits(first.bytes() + next.bytes(), first.bytes().length())) {
        Received received = receive(reads);
        assertWithMessage("%s", reads).that(received.complete).isTrue();
        assertWithMessage("%s", reads).that(received.equalTo(first)).isTrue();
      }
    }
  }

  private static List<List<String>> splits(String bytes, int cut) {
    List<List<String>> splits = new ArrayList<>();
    splits.add(List.of(bytes));
    splits.add(bytes.chars().mapToObj(value -> String.valueOf((char) value)).toList());
    splits.add(List.of(bytes.substring(0, cut), bytes.substring(cut)));
    IntStream.iterate(cut % SPLIT_STEP, i -> i < bytes.length(), i -> i + SPLIT_STEP)
        .forEach(i -> splits.add(List.of(bytes.substring(0, i), bytes.substring(i))));
    return splits;
  }

  private static Received receive(List<String> reads) {
    Received received = new Received();
    BackendConnection connection =
        new BackendConnection(new TestCodec(), idle -> {}, new NoObservation());
    EmbeddedChannel channel = new EmbeddedChannel(connection.handlers());
    channel.freezeTime();
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a/"), "r1", received);
    for (String read : reads) {
      if (channel.isOpen()) {
        channel.writeInbound(Unpooled.copiedBuffer(read, StandardCharsets.ISO_8859_1));
      }
    }
    channel.advanceTimeBy(1, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
    channel.close();
    channel.finishAndReleaseAll();
    return received;
  }

  /** Bytes of an answer, and what they say. */
  private record Answer(int status, String head, String body, String bytes) {
    private static final Answer NONE = new Answer(0, "", "", "");

    private static Answer of(int status, String reason, String headers, String body, String rest) {
      String line = "HTTP/1.1 " + status + (reason.isEmpty() ? "" : " " + reason) + "\r\n";
      return new Answer(status, headers, body, line + headers + rest);
    }

    static Answer withLength(int status, String reason, String headers, String body) {
      String rest = "Content-Length: " + body.length() + "\r\n\r\n" + body;
      return of(status, reason, headers, body, rest);
    }

    static Answer untilClose(int status, String reason, String headers, String body) {
      return of(status, reason, headers, body, "\r\n" + body);
    }

    static Answer chunked(int status, String reason, String headers, String... chunks) {
      StringBuilder rest = new StringBuilder("Transfer-Encoding: chunked\r\n\r\n");
      for (String chunk : chunks) {
        rest.append(Integer.toHexString(chunk.length()))
            .append("\r\n")
            .append(chunk)
            .append("\r\n");
      }
      rest.append("0\r\n\r\n");
      return of(status, reason, headers, String.join("", chunks), rest.toString());
    }

    /** Whether the end of the connection is the end of the body. */
    boolean endsWithConnection() {
      return !bytes.contains("Content-Length") && !bytes.contains("chunked");
    }

    boolean answers(String requestId) {
      return head.isEmpty() || head.contains("id: " + requestId + "\r\n");
    }
  }

  /** What the connection told of the answer to a request. */
  private static final class Received implements ResponseListener {
    private final StringBuilder body = new StringBuilder();
    private final TreeMap<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    private int status;
    private boolean complete;

    @Override
    public void onHead(ServerResponse response, HttpResponse head) {
      status = response.status();
      head.headers()
          .forEach(field -> fields.merge(field.getKey(), field.getValue(), String::concat));
    }

    @Override
    public void onContent(ByteBuf content) {
      body.append(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onComplete() {
      complete = true;
    }

    @Override
    public void onFailure(String reason) {
      complete = false;
    }

    boolean isAllowed(Answer first, boolean firstIsWhole, Answer next) {
      if (!complete) {
        return true;
      }
      boolean stopped =
          body.length() > 0
              && next == Answer.NONE
              && first.endsWithConnection()
              && first.body().startsWith(body.toString());
      return (firstIsWhole && equalTo(first)) || equalTo(next) || (stopped && status == 200);
    }

    private boolean equalTo(Answer answer) {
      return status == answer.status()
          && answer.answers("r1")
          && body.toString().equals(answer.body())
          && Optional.ofNullable(fields.get("seal")).orElse("").equals(seal(answer));
    }

    private static String seal(Answer answer) {
      int start = answer.head().indexOf("seal: ");
      return start < 0
          ? ""
          : answer.head().substring(start + 6, answer.head().indexOf("\r\n", start));
    }

    @Override
    public String toString() {
      return status + " " + fields + " " + body;
    }
  }
}
