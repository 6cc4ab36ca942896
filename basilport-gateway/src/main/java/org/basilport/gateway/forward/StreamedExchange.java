package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilport.error.Step;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.DepartureListener;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.gateway.message.MemoryReference;
import org.basilport.gateway.message.Prompt;
import org.basilport.gateway.message.ServerAnswer;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.RequestDemand;

/**
 * A stream of events. Whole events are passed on as they arrive; a stream whose server leaves is
 * moved, and one that may be resumed goes on at another server after its last event.
 */
final class StreamedExchange extends Exchange {
  /**
   * Silence, as a share of the longest pause, after which the engine is probed. An engine that lost
   * power answers nothing, and a reset never comes.
   */
  private static final double PROBE_SHARE = 0.25;

  private final EventStreamReader reader = new EventStreamReader();
  private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
  private final DepartureListener departureListener = new Departure();
  private final GenerationMove move;
  private ServerAnswer answer;
  private HttpHeaders headers;
  private boolean answerStarted;
  private boolean firstEventSeen;
  private long sentNanos;
  private long unreadWhenSent;
  private long firstEventMillis = -1;
  private long lastEventNanos;
  private BackendServer watched;
  private ScheduledFuture<?> silenceTimer;

  StreamedExchange(
      ForwardingContext context,
      CallerRequest request,
      ForwardingRoute route,
      Optional<KeyHolder> holder,
      CallerChannel caller) {
    super(context, request, route, holder, caller);
    this.move = new GenerationMove(context, this);
  }

  @Override
  void onSending() {
    sentNanos = System.nanoTime();
    lastEventNanos = sentNanos;
    unreadWhenSent = server.load().totalWork().pendingPrefillTokens();
    firstEventSeen = charge().pendingPrefillTokens() == 0;
    watchServer();
    if (silenceTimer == null) {
      long pause = context.maxEventPause().toNanos();
      silenceTimer =
          context
              .eventLoop()
              .scheduleWithFixedDelay(
                  this::checkSilence, pause / 4, pause / 4, TimeUnit.NANOSECONDS);
    }
  }

  @Override
  ForwardingStart start() {
    return new ForwardingStart(reader.lastId(), Optional.empty());
  }

  private void watchServer() {
    unwatchServer();
    watched = server;
    watched.onDeparture(departureListener);
  }

  private void unwatchServer() {
    if (watched != null) {
      watched.removeDepartureListener(departureListener);
      watched = null;
    }
  }

  @Override
  public void onHead(ServerAnswer head, HttpResponse raw) {
    answer = head;
    if (headers == null || !answerStarted) {
      headers = context.codec().callerHeaders(raw);
    }
    failureBody.reset();
  }

  @Override
  public void onContent(ByteBuf content) {
    if (!streaming()) {
      failureBody.writeBytes(ByteBufUtil.getBytes(content));
      return;
    }
    ByteBuf whole = reader.read(content);
    if (!whole.isReadable()) {
      return;
    }
    lastEventNanos = System.nanoTime();
    if (!firstEventSeen) {
      onFirstEvent();
    }
    chargeGrowth();
    startAnswer();
    caller.write(whole);
    connection.setReading(caller.writable());
  }

  /** Reports the memory of a generation that is longer than its caller expected. */
  private void chargeGrowth() {
    long setAside = charge().memoryTokens();
    long grown = RequestDemand.memoryAfterGrowth(setAside, usedTokens());
    if (grown > setAside) {
      recharge(new OutstandingWork(1, 0, grown));
    }
  }

  private boolean streaming() {
    return answer.successful() && answer.sealed() && !answer.encoded();
  }

  private void onFirstEvent() {
    firstEventSeen = true;
    if (firstEventMillis < 0) {
      firstEventMillis = elapsedMillis();
      context
          .metrics()
          .histogram("forward.first_event_ms." + route.name())
          .update(firstEventMillis);
    }
    server.load().observeFirstToken(System.nanoTime() - sentNanos, unreadWhenSent);
    recharge(new OutstandingWork(1, 0, charge().memoryTokens()));
    context.state().pumpAll();
    if (server.load().leaving()) {
      onServerLeaving(0);
    }
  }

  private void startAnswer() {
    if (!answerStarted) {
      answerStarted = true;
      caller.startAnswer(answer.status(), headers);
    }
  }

  /** Resumes or pauses reading from the server when the caller's speed changes. */
  @Override
  public void onWritableChanged(boolean writable) {
    if (connection != null) {
      connection.setReading(writable);
    }
  }

  private void onServerLeaving(long delayNanos) {
    if (finished() || server == null || !firstEventSeen) {
      return;
    }
    move.startAfter(delayNanos);
  }

  @Override
  public void onComplete() {
    if (streaming()) {
      if (move.stopping()) {
        move.onSourceEnded();
      } else if (reader.insideEvent() || reader.events() == 0) {
        onBroken("stream ended within an event");
      } else {
        deliverEnd();
      }
      return;
    }
    onFailureAnswer();
  }

  private void deliverEnd() {
    server.load().health().recordSuccess();
    recordFinished(answer.status(), firstEventMillis);
    startAnswer();
    caller.finishAnswer();
    finish();
  }

  private void onFailureAnswer() {
    BackendServer answering = server;
    answering.load().health().recordFailure(System.nanoTime());
    String reason = "server " + answering.entry().id() + " answered " + answer.status();
    if (answerStarted) {
      lose(Step.STREAM, reason);
    } else if (answer.notRun() || answer.status() == 421) {
      onNotRun(Step.SEND, reason);
    } else if (answer.successful()) {
      onBroken("answer is not the server's own");
    } else if (answer.status() >= 500 && takeRetry()) {
      retry(reason);
    } else {
      context.metrics().counter("forward.answers." + answer.status()).inc();
      caller.answer(answer.status(), headers, failureBody.toByteArray());
      finish();
    }
  }

  @Override
  public void onBroken(String reason) {
    if (move.stopping()) {
      move.onSourceEnded();
      return;
    }
    move.reset();
    suspectServerDeath();
    server.load().health().recordFailure(System.nanoTime());
    reader.dropPartialEvent();
    if (!answerStarted) {
      if (takeRetry()) {
        retry(reason);
      } else {
        answerOwn(502, new DefaultHttpHeaders(), Step.STREAM, reason);
      }
      return;
    }
    if (route.repeatability() == Repeatability.RESUMABLE_STREAM && takeRetry()) {
      retry(reason);
      return;
    }
    lose(Step.STREAM, reason);
  }

  /** Ends a stream that cannot go on; the caller sees that it is incomplete. */
  void lose(Step step, String reason) {
    if (!answerStarted) {
      answerOwn(502, new DefaultHttpHeaders(), step, reason);
      return;
    }
    recordFailed(answer.status(), step, reason);
    context.metrics().counter("forward.lost_streams").inc();
    caller.abort();
    finish();
  }

  /** Continues the stream at a server whose load already counts it. */
  void continueAt(BackendServer target, OutstandingWork work, MemoryReference memory) {
    reader.dropPartialEvent();
    move.reset();
    releaseServer();
    assignServer(target, work);
    connect(new ForwardingStart(reader.lastId(), Optional.of(memory)));
  }

  /** Memory that the generation needs at another engine. */
  OutstandingWork remainingWork() {
    return new OutstandingWork(1, 0, charge().memoryTokens());
  }

  /** Memory of the generation at its engine, in tokens. */
  private long usedTokens() {
    int perEvent = server.engine().map(EngineCapacity::tokensPerEvent).orElse(1);
    return request.prompt().map(Prompt::promptTokens).orElse(0) + (long) perEvent * reader.events();
  }

  private void checkSilence() {
    if (finished() || server == null || connection == null || move.stopping()) {
      return;
    }
    long silence = System.nanoTime() - lastEventNanos;
    if (silence > context.maxEventPause().toNanos()) {
      giveUpServer("no event for " + context.maxEventPause().toMillis() + " ms");
    } else if (silence > PROBE_SHARE * context.maxEventPause().toNanos()) {
      BackendServer silent = server;
      server
          .connections()
          .probe(
              reachable -> {
                if (!reachable && server == silent && connection != null) {
                  giveUpServer("engine is silent and cannot be reached");
                }
              });
    }
  }

  private void giveUpServer(String reason) {
    connection.abandon();
    onBroken(reason);
  }

  @Override
  void onTimeLimit() {
    if (connection != null) {
      connection.abandon();
    }
    if (answerStarted) {
      lose(Step.STREAM, "time limit reached");
    } else {
      answerOwn(504, new DefaultHttpHeaders(), Step.STREAM, "time limit reached");
    }
  }

  @Override
  void onFinished() {
    unwatchServer();
    move.cancel();
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
    }
  }

  /** Moves the generation when its engine leaves. */
  private final class Departure implements DepartureListener {
    /** An output token takes about as long to produce as ten prompt tokens take to read. */
    private static final int OUTPUT_WEIGHT = 10;

    @Override
    public long memoryTokens() {
      return server == null ? 0 : usedTokens();
    }

    @Override
    public double value() {
      return request
          .prompt()
          .map(p -> (double) p.promptTokens() + OUTPUT_WEIGHT * p.maxOutputTokens())
          .orElse(0.0);
    }

    @Override
    public void onDeparture(long delayNanos) {
      onServerLeaving(delayNanos);
    }
  }

  @Override
  int eventCount() {
    return reader.events();
  }
}
