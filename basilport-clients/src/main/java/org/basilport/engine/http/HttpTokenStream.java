package org.basilport.engine.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BackendException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.error.Step;
import org.basilport.http.FailureBody;
import org.basilport.http.HttpCall;
import org.basilport.http.HttpTransport;
import org.basilport.http.Json;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.http.client.StreamedResponse;

/**
 * A completion stream on its own connection. All state is confined to one event loop, on which the
 * listener is called as well.
 *
 * <p>At most one chunk is read ahead: the next one is requested only when all frames of the
 * previous one were delivered, so a reader that requests nothing applies backpressure to the
 * socket.
 */
final class HttpTokenStream implements TokenStream {
  /**
   * Practically unlimited: a stream may pause for long during a preemption; the session detects
   * stalls.
   */
  private static final Duration STREAM_READ_TIMEOUT = Duration.ofDays(1);

  private static final String DONE_MARKER = "[DONE]";

  private final String address;
  private final EventLoop eventLoop;
  private final TokenListener listener;
  private final SseParser parser = new SseParser();
  private final Deque<CompletionChunk> pendingChunks = new ArrayDeque<>();
  private Subscription subscription;
  private Downstream<? super Boolean> openStream;
  private boolean chunkRequested;
  private boolean finished;
  private long credits;

  HttpTokenStream(String address, HttpTransport transport, TokenListener listener) {
    this.address = address;
    this.eventLoop = transport.execController().getEventLoopGroup().next();
    this.listener = listener;
  }

  void open(HttpTransport transport, HttpCall call) {
    transport
        .execController()
        .fork()
        .eventLoop(eventLoop)
        .onError(this::fail)
        .start(
            started ->
                transport
                    .unpooledClient()
                    .requestStream(
                        call.uri(),
                        spec ->
                            HttpTransport.requestConfigurer(call)
                                .execute(spec.readTimeout(STREAM_READ_TIMEOUT)))
                    .then(this::receive));
  }

  private void receive(StreamedResponse response) {
    int status = response.getStatusCode();
    Subscriber<ByteBuf> reader =
        status == 200 ? new ChunkSubscriber() : new FailureSubscriber(status);
    // The execution must stay open until the stream ends, since it owns the connection.
    Promise.<Boolean>async(
            downstream -> {
              openStream = downstream;
              response.getBody().subscribe(reader);
            })
        .then(ended -> {});
  }

  @Override
  public void request(int frames) {
    eventLoop.execute(
        () -> {
          credits += frames;
          drain();
        });
  }

  @Override
  public void close() {
    eventLoop.execute(this::release);
  }

  private void drain() {
    while (!finished && !pendingChunks.isEmpty()) {
      CompletionChunk chunk = pendingChunks.peekFirst();
      if (chunk.toEnd().isPresent()) {
        finish(chunk.toEnd().get());
      } else if (credits > 0) {
        credits--;
        pendingChunks.removeFirst();
        listener.onTokens(chunk.toFrame());
      } else {
        return;
      }
    }
    if (!finished && subscription != null && !chunkRequested) {
      chunkRequested = true;
      subscription.request(1);
    }
  }

  private void add(ByteBuf chunk) {
    chunkRequested = false;
    try {
      for (String event : parser.add(chunk)) {
        if (!event.equals(DONE_MARKER)) {
          pendingChunks.addLast(parse(event));
        }
      }
    } catch (UncheckedIOException e) {
      fail(e);
    } finally {
      chunk.release();
    }
    drain();
  }

  private static CompletionChunk parse(String event) {
    CompletionChunk chunk = Json.read(event, CompletionChunk.class);
    if (chunk == null || !chunk.isComplete()) {
      throw new UncheckedIOException(
          new IOException("event has neither tokens nor a finish reason"));
    }
    return chunk;
  }

  private void finish(GenerationEnd end) {
    if (!finished) {
      release();
      listener.onEnd(end);
    }
  }

  private void finish(BackendException failure) {
    if (!finished) {
      release();
      listener.onFailure(failure);
    }
  }

  private void fail(Throwable cause) {
    Outcome outcome = HttpTransport.outcomeOf(cause);
    Step step = outcome == Outcome.NOT_RUN ? Step.CONNECT : Step.STREAM;
    String message = "connection to the engine failed: " + cause.getMessage();
    finish(new BackendException(FailureCode.BACKEND_LOST, outcome, step, address, message, cause));
  }

  /** Stops reading and releases the connection. */
  private void release() {
    finished = true;
    pendingChunks.clear();
    if (subscription != null) {
      subscription.cancel();
    }
    if (openStream != null) {
      Downstream<? super Boolean> downstream = openStream;
      openStream = null;
      downstream.success(true);
    }
  }

  /** Reads the body of an error response, which a faulty server may send without end. */
  private final class FailureSubscriber implements Subscriber<ByteBuf> {
    private static final int MAX_BYTES = 65_536;

    private final int status;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private FailureSubscriber(int status) {
      this.status = status;
    }

    @Override
    public void onSubscribe(Subscription started) {
      subscription = started;
      if (finished) {
        release();
      } else {
        started.request(1);
      }
    }

    @Override
    public void onNext(ByteBuf chunk) {
      int length = Math.min(chunk.readableBytes(), MAX_BYTES - body.size());
      body.writeBytes(ByteBufUtil.getBytes(chunk, chunk.readerIndex(), length));
      chunk.release();
      if (body.size() == MAX_BYTES) {
        finishWithBody();
      } else if (!finished) {
        subscription.request(1);
      }
    }

    @Override
    public void onError(Throwable cause) {
      subscription = null;
      fail(cause);
    }

    @Override
    public void onComplete() {
      subscription = null;
      finishWithBody();
    }

    private void finishWithBody() {
      finish(FailureBody.backendFailure(address, status, body.toString(StandardCharsets.UTF_8)));
    }
  }

  private final class ChunkSubscriber implements Subscriber<ByteBuf> {
    @Override
    public void onSubscribe(Subscription started) {
      subscription = started;
      if (finished) {
        release();
      } else {
        drain();
      }
    }

    @Override
    public void onNext(ByteBuf chunk) {
      if (finished) {
        chunk.release();
      } else {
        add(chunk);
      }
    }

    @Override
    public void onError(Throwable cause) {
      subscription = null;
      fail(cause);
    }

    @Override
    public void onComplete() {
      subscription = null;
      if (pendingChunks.isEmpty()) {
        fail(new EOFException("stream closed before the end of the generation"));
      }
    }
  }
}
