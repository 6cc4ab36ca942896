package org.basilport.engine.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.util.concurrent.Uninterruptibles;
import io.netty.buffer.Unpooled;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.http.HttpTimeouts;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import ratpack.handling.Handler;
import ratpack.server.RatpackServer;
import ratpack.stream.Streams;

class HttpTokenStreamTest {
  private static final int TOKEN_CHARS = 50_000;
  private static final int BLOCK_BYTES = 32_768;
  private static final long MAX_UNREAD_FRAMES = 500;

  /** Limit of a wait for a state, which only a state that never comes reaches. */
  private static final long LIMIT_SECONDS = 60;

  /** Time in which a server that still sends has sent, even on a slow machine. */
  private static final long STILL_MILLIS = 500;

  private final HttpTransport transport = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong received = new AtomicLong();
  private final CompletableFuture<BasilportException> failure = new CompletableFuture<>();
  private final CompletableFuture<GenerationEnd> end = new CompletableFuture<>();
  private RatpackServer server;

  @AfterEach
  void stop() throws Exception {
    transport.close();
    if (server != null) {
      server.stop();
    }
  }

  private TokenStream open(Handler handler) throws Exception {
    server =
        RatpackServer.of(
            spec ->
                spec.serverConfig(
                        config ->
                            config.port(0).address(InetAddress.getByName("127.0.0.1")).threads(1))
                    .handlers(chain -> chain.all(handler)));
    server.start();
    String address = "127.0.0.1:" + server.getBindPort();
    return new HttpModelEngine(transport, address).resume("g", 0, new CountingListener());
  }

  private String nextEvent() {
    TokenFrame frame =
        new TokenFrame("g", sent.getAndIncrement(), List.of("x".repeat(TOKEN_CHARS)));
    return "data: " + Json.write(CompletionChunk.of(frame)) + "\n\n";
  }

  private static void awaitCondition(BooleanSupplier condition) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertThat(end - System.nanoTime()).isGreaterThan(0L);
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  /** Whether a count stays as it is for {@link #STILL_MILLIS}. */
  private static boolean isUnchanged(AtomicLong count) {
    long before = count.get();
    Uninterruptibles.sleepUninterruptibly(STILL_MILLIS, TimeUnit.MILLISECONDS);
    return count.get() == before;
  }

  /** Guards against a client that buffers an endless stream whose reader requests nothing. */
  @Test
  void unreadStreamAppliesBackpressure() throws Exception {
    TokenStream stream =
        open(
            context ->
                context
                    .getResponse()
                    .sendStream(
                        Streams.yield(
                            r -> Unpooled.copiedBuffer(nextEvent(), StandardCharsets.UTF_8))));
    stream.request(3);
    awaitCondition(() -> received.get() == 3);
    long lastSent = -1;
    while (lastSent != sent.get() && sent.get() < MAX_UNREAD_FRAMES) {
      lastSent = sent.get();
      TimeUnit.MILLISECONDS.sleep(1_000);
    }

    assertThat(received.get()).isEqualTo(3);
    assertThat(sent.get()).isEqualTo(lastSent);
    assertThat(lastSent).isLessThan(MAX_UNREAD_FRAMES);

    stream.request(200);
    awaitCondition(() -> received.get() == 203);
    stream.close();
  }

  /** Guards against a truncated stream that is taken for a complete response. */
  @Test
  void connectionCloseBeforeEndIsFailure() throws Exception {
    open(context -> context.getResponse().contentType("text/event-stream").send(nextEvent()))
        .request(10);

    BasilportException thrown = failure.get(LIMIT_SECONDS, TimeUnit.SECONDS);

    assertThat(received.get()).isEqualTo(1);
    assertThat(thrown.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    assertThat(thrown.code()).isEqualTo(FailureCode.BACKEND_LOST);
  }

  /** Guards against a truncated stream that neither ends nor fails if its reader is late. */
  @Test
  void connectionCloseBeforeEndIsFailureForALateReader() throws Exception {
    TokenStream stream =
        open(
            context ->
                context
                    .getResponse()
                    .contentType("text/event-stream")
                    .send(nextEvent() + nextEvent()));
    stream.request(1);
    awaitCondition(() -> received.get() == 1);
    TimeUnit.MILLISECONDS.sleep(200);
    stream.request(10);

    assertThat(failure.get(LIMIT_SECONDS, TimeUnit.SECONDS).outcome())
        .isEqualTo(Outcome.MAY_HAVE_RUN);
    assertThat(received.get()).isEqualTo(2);
  }

  /** Guards against a server error or a malformed event that is reported as not run. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"200|{garbled", "200|{}", "200|null", "302|{}", "500|{garbled", "503|{}"})
  void unparsableResponseMayHaveRun(int status, String event) throws Exception {
    open(context -> context.getResponse().status(status).send("data: " + event + "\n\n"))
        .request(1);

    assertThat(failure.get(LIMIT_SECONDS, TimeUnit.SECONDS).outcome())
        .isEqualTo(Outcome.MAY_HAVE_RUN);
    assertThat(received.get()).isEqualTo(0);
  }

  /** Guards against an unknown finish reason that makes the stream fail. */
  @Test
  void unknownFinishReasonCountsAsStop() throws Exception {
    String event =
        "data: {\"id\":\"g\",\"offset\":4,\"choices\":[{\"finish_reason\":\"other\"}]}\n\n";
    open(context -> context.getResponse().send(event));

    assertThat(end.get(LIMIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(new GenerationEnd("g", 4, GenerationEnd.Reason.STOP));
  }

  /** Guards against an endless failure, event or line that is kept until the memory is used up. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"500|x", "503|x", "200|x", "200|data: x\\n"})
  void endsAnAnswerWithoutEnd(int status, String part) throws Exception {
    String block = part.replace("\\n", "\n").repeat(BLOCK_BYTES / part.length());
    open(context -> {
          context
              .getResponse()
              .status(status)
              .sendStream(
                  Streams.periodically(
                      context,
                      Duration.ofMillis(2),
                      i -> {
                        sent.incrementAndGet();
                        return Unpooled.copiedBuffer(block, StandardCharsets.UTF_8);
                      }));
        })
        .request(1);

    assertThat(failure.get(LIMIT_SECONDS, TimeUnit.SECONDS).outcome())
        .isEqualTo(Outcome.MAY_HAVE_RUN);
    assertThat(received.get()).isEqualTo(0);
    awaitCondition(() -> isUnchanged(sent));
  }

  @Nested
  class Parser {
    /** Guards against the events of another response whose head follows within a stream. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "HTTP/1.1 200 OK",
          "Content-Type: text/event-stream",
          "87",
          "data2: x",
          " data:"
        })
    void linesOfAnotherResponseAreRefused(String line) {
      SseParser parser = new SseParser();

      assertThrows(
          UncheckedIOException.class,
          () ->
              parser.add(
                  Unpooled.copiedBuffer(
                      "data: 1\n\n" + line + "\r\n\r\ndata: 2\n\n", StandardCharsets.UTF_8)));
    }

    /**
     * Guards against events that are lost or merged when a chunk ends within a line or character.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 100})
    void chunksMayEndAnywhere(int chunkBytes) {
      byte[] bytes =
          ": comment\ndata: é1\r\n\r\nevent: x\ndata: two\ndata: lines\n\ndata:last\n\n"
              .getBytes(StandardCharsets.UTF_8);
      SseParser parser = new SseParser();
      List<String> events = new ArrayList<>();
      for (int from = 0; from < bytes.length; from += chunkBytes) {
        int length = Math.min(chunkBytes, bytes.length - from);
        events.addAll(parser.add(Unpooled.wrappedBuffer(bytes, from, length)));
      }

      assertThat(events).containsExactly("é1", "two\nlines", "last").inOrder();
    }
  }

  private final class CountingListener implements TokenListener {
    @Override
    public void onTokens(TokenFrame frame) {
      received.incrementAndGet();
    }

    @Override
    public void onEnd(GenerationEnd ended) {
      end.complete(ended);
    }

    @Override
    public void onFailure(BasilportException cause) {
      failure.complete(cause);
    }
  }
}
