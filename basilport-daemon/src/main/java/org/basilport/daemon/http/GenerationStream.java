package org.basilport.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.function.Function;
import org.basilport.delivery.GenerationHandle;
import org.basilport.delivery.GenerationListener;
import org.basilport.error.BasilportException;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;

/**
 * Publishes a generation as server-sent events, with backpressure from the socket.
 *
 * <p>All state is confined to the event loop of the connection; the router's callbacks are
 * dispatched to it. A failure before the first event determines the HTTP status, so the response
 * starts only with the first event.
 */
final class GenerationStream implements GenerationListener, Publisher<ByteBuf>, Subscription {
  private final EventLoop loop;
  private final Function<BasilportException, FailureBody> toFailureBody;
  private final Queue<ServerSentEvent> pendingEvents = new ArrayDeque<>();
  private GenerationHandle handle;
  private Downstream<? super Boolean> firstEvent;
  private Subscriber<? super ByteBuf> subscriber;
  private long demand = 1;
  private long requested;
  private boolean complete;
  private boolean closed;

  GenerationStream(EventLoop loop, Function<BasilportException, FailureBody> toFailureBody) {
    this.loop = loop;
    this.toFailureBody = toFailureBody;
  }

  /**
   * Sets the handle and requests the first batch. Must be called on the event loop, in the task
   * that started the generation, since the router's callbacks are queued behind that task.
   */
  void open(GenerationHandle generation, Downstream<? super Boolean> onFirstEvent) {
    handle = generation;
    firstEvent = onFirstEvent;
    requestBatches();
  }

  /**
   * Detaches the caller, for example after its connection closed; the generation continues until
   * the resume window ends.
   */
  void disconnect() {
    loop.execute(this::cancelOnLoop);
  }

  @Override
  public void onTokens(long offset, List<String> tokens, String resumeToken) {
    // The router calls from its single traffic thread, so the event is encoded on the event loop.
    loop.execute(() -> add(tokenEvent(offset, tokens, resumeToken), false));
  }

  @Override
  public void onEnd(long totalTokens, String reason) {
    enqueue(
        new ServerSentEvent("", "end", Json.write(new StreamEventData.End(totalTokens, reason))),
        true);
  }

  @Override
  public void onHandover(String resumeToken, List<String> addresses) {
    String data = Json.write(new StreamEventData.Resume(resumeToken, addresses));
    enqueue(new ServerSentEvent(resumeToken, "resume", data), true);
  }

  @Override
  public void onFailure(BasilportException failure) {
    loop.execute(() -> fail(failure));
  }

  @Override
  public void subscribe(Subscriber<? super ByteBuf> target) {
    subscriber = target;
    demand = 0;
    target.onSubscribe(this);
  }

  @Override
  public void request(long events) {
    loop.execute(() -> addDemand(events));
  }

  @Override
  public void cancel() {
    disconnect();
  }

  private void fail(BasilportException failure) {
    if (subscriber == null && pendingEvents.isEmpty() && firstEvent != null) {
      complete = true;
      Downstream<? super Boolean> downstream = firstEvent;
      firstEvent = null;
      downstream.error(failure);
      return;
    }
    add(new ServerSentEvent("", "error", Json.write(toFailureBody.apply(failure))), true);
  }

  private static ServerSentEvent tokenEvent(long offset, List<String> tokens, String resumeToken) {
    String data = Json.write(new StreamEventData.Tokens(offset, tokens));
    return new ServerSentEvent(resumeToken, "token", data);
  }

  private void enqueue(ServerSentEvent event, boolean last) {
    loop.execute(() -> add(event, last));
  }

  private void add(ServerSentEvent event, boolean last) {
    if (closed || complete) {
      return;
    }
    pendingEvents.add(event);
    if (last) {
      complete = true;
    } else {
      requested--;
    }
    signalFirstEvent();
    emit();
  }

  private void signalFirstEvent() {
    if (firstEvent != null && !pendingEvents.isEmpty()) {
      Downstream<? super Boolean> downstream = firstEvent;
      firstEvent = null;
      downstream.success(true);
    }
  }

  private void addDemand(long events) {
    demand = Math.min(Integer.MAX_VALUE, demand + Math.min(events, Integer.MAX_VALUE));
    emit();
  }

  private void emit() {
    if (subscriber == null || closed) {
      return;
    }
    while (demand > 0 && !pendingEvents.isEmpty()) {
      demand--;
      subscriber.onNext(pendingEvents.remove().encode());
    }
    if (complete && pendingEvents.isEmpty()) {
      closed = true;
      subscriber.onComplete();
    } else {
      requestBatches();
    }
  }

  private void requestBatches() {
    long shortfall = demand - requested - pendingEvents.size();
    if (shortfall > 0 && !complete) {
      requested += shortfall;
      handle.request((int) shortfall);
    }
  }

  private void cancelOnLoop() {
    if (closed) {
      return;
    }
    closed = true;
    pendingEvents.clear();
    if (!complete) {
      handle.detach();
    }
  }
}
