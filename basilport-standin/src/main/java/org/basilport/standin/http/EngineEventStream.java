package org.basilport.standin.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.engine.http.CompletionChunk;
import org.basilport.error.BasilportException;
import org.basilport.http.Json;
import org.basilport.standin.engine.EngineConnectionListener;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;

/**
 * Publishes a generation as server-sent events. The subscriber's demand is forwarded to the engine
 * as back-pressure for callers that do not read. State is confined to the request's event loop.
 */
final class EngineEventStream
    implements Publisher<ByteBuf>, EngineConnectionListener, Subscription {
  private final EventLoop eventLoop;
  private final Downstream<? super EngineEventStream> accepted;
  private final Deque<String> events = new ArrayDeque<>();
  private final TokenStream stream;
  private Subscriber<? super ByteBuf> subscriber;
  private BasilportException failure;
  private boolean acceptanceReported;
  private boolean ended;
  private boolean finished;
  private long demand;

  /**
   * Opens the engine's stream.
   *
   * @param opener opens the engine's stream for a listener
   * @param accepted notified when the engine accepts or rejects the request
   */
  EngineEventStream(
      EventLoop eventLoop,
      Function<TokenListener, TokenStream> opener,
      Downstream<? super EngineEventStream> accepted) {
    this.eventLoop = eventLoop;
    this.accepted = accepted;
    this.stream = opener.apply(this);
  }

  @Override
  public void onAccepted() {
    execute(
        () -> {
          acceptanceReported = true;
          accepted.success(this);
        });
  }

  @Override
  public void onTokens(TokenFrame frame) {
    add(CompletionChunk.of(frame), false);
  }

  @Override
  public void onEnd(GenerationEnd end) {
    add(CompletionChunk.of(end), true);
  }

  private void add(CompletionChunk chunk, boolean last) {
    String done = last ? "data: [DONE]\n\n" : "";
    String event = "data: " + Json.write(chunk) + "\n\n" + done;
    execute(
        () -> {
          events.add(event);
          ended = last;
          drain();
        });
  }

  @Override
  public void onFailure(BasilportException cause) {
    execute(
        () -> {
          if (!acceptanceReported) {
            acceptanceReported = true;
            accepted.error(cause);
          } else {
            failure = cause;
            drain();
          }
        });
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> started) {
    subscriber = started;
    started.onSubscribe(this);
    drain();
  }

  @Override
  public void request(long count) {
    stream.request((int) Math.min(Integer.MAX_VALUE, count));
    execute(
        () -> {
          demand += count;
          drain();
        });
  }

  @Override
  public void cancel() {
    stream.close();
    execute(() -> finished = true);
  }

  private void execute(Runnable task) {
    try {
      eventLoop.execute(task);
    } catch (RejectedExecutionException ignored) {
      // The server stopped during the generation, so the stream has no reader.
      stream.close();
    }
  }

  private void drain() {
    while (!finished && subscriber != null && demand > 0 && !events.isEmpty()) {
      demand--;
      subscriber.onNext(Unpooled.copiedBuffer(events.remove(), StandardCharsets.UTF_8));
    }
    if (finished || subscriber == null || !events.isEmpty()) {
      return;
    }
    if (failure != null) {
      finished = true;
      subscriber.onError(failure);
    } else if (ended) {
      finished = true;
      subscriber.onComplete();
    }
  }
}
