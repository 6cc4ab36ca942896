package org.basilport.engine.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
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
import org.basilport.http.ResponseReceiver;
import org.basilport.http.ResponseStream;

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
  private ResponseStream response;
  private boolean headReceived;
  private boolean chunkRequested;
  private boolean responseEnded;
  private boolean finished;
  private long credits;

  HttpTokenStream(String address, HttpTransport transport, TokenListener listener) {
    this.address = address;
    this.eventLoop = transport.execController().getEventLoopGroup().next();
    this.listener = listener;
  }

  void open(HttpTransport transport, HttpCall call) {
    eventLoop.execute(
        () -> {
          response = transport.stream(call, eventLoop, STREAM_READ_TIMEOUT, new Receiver());
          if (finished) {
            response.close();
          }
        });
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
    if (!finished && responseEnded) {
      fail(new EOFException("stream closed before the end of the generation"));
    } else if (!finished && headReceived && !chunkRequested) {
      chunkRequested = true;
      response.requestContent();
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

  /** Stops reading and closes the connection. */
  private void release() {
    finished = true;
    pendingChunks.clear();
    if (response != null) {
      response.close();
    }
  }

  /** Receives the head of the response, and the events of a successful one. */
  private final class Receiver implements ResponseReceiver {
    private Optional<FailureBodyReader> failureBody = Optional.empty();

    @Override
    public void onHead(int status, HttpHeaders headers) {
      headReceived = true;
      if (status == HttpResponseStatus.OK.code()) {
        drain();
      } else {
        failureBody = Optional.of(new FailureBodyReader(status));
        response.requestContent();
      }
    }

    @Override
    public void onContent(ByteBuf content) {
      if (finished) {
        return;
      }
      if (failureBody.isPresent()) {
        failureBody.get().add(content);
      } else {
        add(content);
      }
    }

    @Override
    public void onEnd() {
      responseEnded = true;
      if (failureBody.isPresent()) {
        failureBody.get().finish();
      } else {
        drain();
      }
    }

    @Override
    public void onFailure(Throwable cause) {
      fail(cause);
    }
  }

  /** Reads the body of an error response, which a faulty server may send without end. */
  private final class FailureBodyReader {
    private static final int MAX_BYTES = 65_536;

    private final int status;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private FailureBodyReader(int status) {
      this.status = status;
    }

    void add(ByteBuf chunk) {
      if (body.size() + chunk.readableBytes() > MAX_BYTES) {
        // What a longer body states is not read: only a whole one counts.
        body.reset();
        finish();
      } else {
        body.writeBytes(ByteBufUtil.getBytes(chunk));
        response.requestContent();
      }
    }

    void finish() {
      HttpTokenStream.this.finish(
          FailureBody.backendFailure(address, status, body.toString(StandardCharsets.UTF_8)));
    }
  }
}
