package org.basilport.engine.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
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
 * A completion stream on a connection of its own. All state is confined to one event loop, on which
 * the listener is called too.
 *
 * <p>At most one chunk is read ahead: the next one is asked for only when all frames of the last
 * one were passed on, so a reader that requests nothing stops the socket.
 */
final class HttpTokenStream implements TokenStream {
  /** Streams may stand still for long while an engine preempts; the session watches for stalls. */
  private static final Duration STREAM_READ_TIMEOUT = Duration.ofDays(1);

  private static final String DONE = "[DONE]";

  private final String address;
  private final EventLoop eventLoop;
  private final TokenListener listener;
  private final SseParser parser = new SseParser();
  private final Deque<CompletionChunk> pending = new ArrayDeque<>();
  private Subscription subscription;
  private Downstream<? super Boolean> execution;
  private boolean chunkRequested;
  private boolean finished;
  private long credits;

  HttpTokenStream(String address, HttpTransport connector, TokenListener listener) {
    this.address = address;
    this.eventLoop = connector.execController().getEventLoopGroup().next();
    this.listener = listener;
  }

  void open(HttpTransport connector, HttpCall call) {
    connector
        .execController()
        .fork()
        .eventLoop(eventLoop)
        .onError(this::fail)
        .start(
            started ->
                connector
                    .unpooledClient()
                    .requestStream(
                        call.uri(),
                        spec ->
                            HttpTransport.filler(call)
                                .execute(spec.readTimeout(STREAM_READ_TIMEOUT)))
                    .then(this::receive));
  }

  private void receive(StreamedResponse response) {
    if (response.getStatusCode() != 200) {
      int status = response.getStatusCode();
      response
          .getBody()
          .toList()
          .then(chunks -> finish(FailureBody.backendFailure(address, status, text(chunks))));
      return;
    }
    // The execution stays open until the stream ends, since it owns the connection.
    Promise.<Boolean>async(
            downstream -> {
              execution = downstream;
              response.getBody().subscribe(new ChunkSubscriber());
            })
        .then(ended -> {});
  }

  private static String text(Iterable<? extends ByteBuf> chunks) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf chunk : chunks) {
      text.append(chunk.toString(StandardCharsets.UTF_8));
      chunk.release();
    }
    return text.toString();
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
    while (!finished && !pending.isEmpty()) {
      CompletionChunk chunk = pending.peekFirst();
      if (chunk.toEnd().isPresent()) {
        finish(chunk.toEnd().get());
      } else if (credits > 0) {
        credits--;
        pending.removeFirst();
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
        if (!event.equals(DONE)) {
          pending.addLast(parse(event));
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
      throw new UncheckedIOException(new IOException("an event has neither tokens nor an end"));
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
    String message = "the connection to the engine failed: " + cause.getMessage();
    finish(new BackendException(FailureCode.BACKEND_LOST, outcome, step, address, message, cause));
  }

  /** Stops reading and frees the connection. */
  private void release() {
    finished = true;
    pending.clear();
    if (subscription != null) {
      subscription.cancel();
    }
    if (execution != null) {
      Downstream<? super Boolean> ending = execution;
      execution = null;
      ending.success(true);
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
      if (pending.isEmpty()) {
        fail(new EOFException("the stream ended before the generation did"));
      }
    }
  }
}
