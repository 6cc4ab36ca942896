package org.basilport.engine.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
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
  private static final int TEXT_CHARS = 50_000;
  private static final long MAX_UNREAD_FRAMES = 500;

  private final HttpTransport connector = HttpTransport.standalone(1, HttpTimeouts.defaults());
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong received = new AtomicLong();
  private final CompletableFuture<BasilportException> failure = new CompletableFuture<>();
  private final CompletableFuture<GenerationEnd> end = new CompletableFuture<>();
  private RatpackServer server;

  @AfterEach
  void stop() throws Exception {
    connector.close();
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
    return new HttpModelEngine(connector, address).resume("g", 0, new CountingListener());
  }

  private String nextEvent() {
    TokenFrame frame = new TokenFrame("g", sent.getAndIncrement(), List.of("x".repeat(TEXT_CHARS)));
    return "data: " + Json.write(CompletionChunk.of(frame)) + "\n\n";
  }

  private static void until(BooleanSupplier condition) throws Exception {
    for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  /** Guards against a client that buffers an endless stream which nobody reads. */
  @Test
  void unreadStreamStopsTheSender() throws Exception {
    TokenStream stream =
        open(
            context ->
                context
                    .getResponse()
                    .sendStream(
                        Streams.yield(
                            r -> Unpooled.copiedBuffer(nextEvent(), StandardCharsets.UTF_8))));
    stream.request(3);
    until(() -> received.get() == 3);
    long stopped = -1;
    while (stopped != sent.get() && sent.get() < MAX_UNREAD_FRAMES) {
      stopped = sent.get();
      TimeUnit.MILLISECONDS.sleep(1_000);
    }

    assertThat(received.get()).isEqualTo(3);
    assertThat(sent.get()).isEqualTo(stopped);
    assertThat(stopped).isLessThan(MAX_UNREAD_FRAMES);

    stream.request(200);
    until(() -> received.get() == 203);
    stream.close();
  }

  /** Guards against a cut stream that is taken for a whole answer. */
  @Test
  void endOfTheConnectionBeforeTheEndOfTheGenerationIsAFailure() throws Exception {
    open(context -> context.getResponse().contentType("text/event-stream").send(nextEvent()))
        .request(10);

    BasilportException cut = failure.get(5, TimeUnit.SECONDS);

    assertThat(received.get()).isEqualTo(1);
    assertThat(cut.outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    assertThat(cut.code()).isEqualTo(FailureCode.BACKEND_LOST);
  }

  /** Guards against a server error or a garbled event that is reported as not run. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"200|{garbled", "200|{}", "200|null", "302|{}", "500|{garbled", "503|{}"})
  void answerThatIsNotUnderstoodMayHaveRun(int status, String event) throws Exception {
    open(context -> context.getResponse().status(status).send("data: " + event + "\n\n"))
        .request(1);

    assertThat(failure.get(5, TimeUnit.SECONDS).outcome()).isEqualTo(Outcome.MAY_HAVE_RUN);
    assertThat(received.get()).isEqualTo(0);
  }

  /** Guards against an end with a reason of another engine that breaks the stream. */
  @Test
  void unknownReasonOfTheEndCountsAsStop() throws Exception {
    String event =
        "data: {\"id\":\"g\",\"offset\":4,\"choices\":[{\"finish_reason\":\"other\"}]}\n\n";
    open(context -> context.getResponse().send(event));

    assertThat(end.get(5, TimeUnit.SECONDS))
        .isEqualTo(new GenerationEnd("g", 4, GenerationEnd.Reason.STOP));
  }

  @Nested
  class Parser {
    /** Guards against events that are lost or joined when chunks end within a line or character. */
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
