package org.basilport.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Duration;
import java.util.Optional;
import org.basilport.error.Step;
import org.basilport.gateway.backend.BackendConnection;
import org.basilport.gateway.backend.BackendServer;
import org.basilport.gateway.backend.DepartureListener;
import org.basilport.gateway.config.EngineCapacity;
import org.basilport.gateway.config.ForwardingRoute;
import org.basilport.gateway.config.KeyHolder;
import org.basilport.gateway.config.Repeatability;
import org.basilport.gateway.message.CallerRequest;
import org.basilport.gateway.message.GenerationSize;
import org.basilport.gateway.message.KvCacheReference;
import org.basilport.gateway.message.ServerResponse;
import org.basilport.policy.dispatch.EventGapLimit;
import org.basilport.policy.dispatch.GenerationHandover.StreamEnd;
import org.basilport.policy.dispatch.OutstandingWork;
import org.basilport.policy.dispatch.RequestDemand;

/**
 * Exchange whose response is a stream of server-sent events. Complete events are forwarded as they
 * arrive. The generation of a leaving engine is moved, and a resumable stream whose server fails
 * continues at another server after its last event.
 */
final class StreamedExchange extends Exchange {
  private final EventStreamReader reader = new EventStreamReader(context.responseBuffer());
  private final ResponseBody errorBody = new ResponseBody(context.responseBuffer());
  private final DepartureListener departureListener = new GenerationDeparture(this);
  private final GenerationMove move;
  private ServerResponse response;
  private StreamContentType contentType = StreamContentType.UNDECLARED;

  /** Whether the end of the answer differs from the end of its connection. */
  private boolean endsVisibly;

  private HttpHeaders headers;
  private boolean responseStarted;
  private final Optional<Long> streamKey;
  private Optional<String> version = Optional.empty();
  private boolean begun;
  private boolean firstEventReceived;

  /** Whether the stream resumed at a server that is leaving. */
  private boolean movesOnWithAnswer;

  private long sentNanos;
  private long prefillTokensWhenSent;
  private long firstEventMillis = -1;
  private long outputTokens;
  private BackendServer observedServer;
  private final EventGapMonitor gapMonitor;

  StreamedExchange(
      ForwardingContext context,
      CallerRequest request,
      ForwardingRoute route,
      Optional<KeyHolder> holder,
      ResponseChannel caller) {
    super(context, request, route, holder, caller);
    this.move = new GenerationMove(context, this);
    String workspace = holder.map(KeyHolder::workspace).orElse("");
    this.streamKey =
        (request.lastEventId().isPresent() ? request.resumedRequestId() : Optional.of(request.id()))
            .map(id -> StreamVersions.key(workspace, dispatcher.service(), id));
    Duration maxGap =
        EventGapLimit.of(
            context.limits().minEventGap(), route.targetLatency(), route.targetEventGap());
    this.gapMonitor = new EventGapMonitor(context.eventLoop(), maxGap, new SilentServer());
  }

  @Override
  void beforeSend() {
    sentNanos = System.nanoTime();
    gapMonitor.recordEvent();
    prefillTokensWhenSent = server.load().totalWork().pendingPrefillTokens();
    firstEventReceived = reader.eventCount() > 0 && reservedWork().pendingPrefillTokens() == 0;
    observeDeparture();
    movesOnWithAnswer = server.load().leaving();
  }

  @Override
  ResumePoint resumePoint() {
    return new ResumePoint(reader.lastId(), Optional.empty());
  }

  private void observeDeparture() {
    stopObservingDeparture();
    observedServer = server;
    observedServer.onDeparture(departureListener);
  }

  private void stopObservingDeparture() {
    if (observedServer != null) {
      observedServer.removeDepartureListener(departureListener);
      observedServer = null;
    }
  }

  @Override
  public void onHead(ServerResponse serverResponse, HttpResponse httpResponse) {
    onAnswerStarted(serverResponse);
    response = serverResponse;
    contentType = StreamContentType.of(httpResponse.headers());
    endsVisibly =
        HttpUtil.isTransferEncodingChunked(httpResponse)
            || HttpUtil.isContentLengthSet(httpResponse);
    if (!refused()) {
      move.onCopyUsed();
    }
    if (movesOnWithAnswer && streaming()) {
      movesOnWithAnswer = false;
      onServerLeaving(0);
    }
    if (headers == null || !responseStarted) {
      headers = context.codec().responseHeaders(httpResponse);
    }
    errorBody.clear();
  }

  @Override
  public void onContent(ByteBuf content) {
    if (!streaming()) {
      if (!errorBody.append(content)) {
        abandonServer("answer is too large to be kept");
      }
      return;
    }
    int previousEvents = reader.eventCount();
    ByteBuf completeEvents = reader.read(content);
    if (reader.eventCount() > previousEvents) {
      onProgress(reader.eventCount() - previousEvents);
    }
    if (completeEvents.isReadable()) {
      startResponse();
      caller.write(completeEvents);
      connection.setReading(caller.isWritable());
    }
    reader.problem().ifPresent(this::abandonServer);
  }

  @Override
  void place() {
    if (request.lastEventId().isEmpty()) {
      placeOrQueue();
      return;
    }
    context
        .state()
        .streamVersions()
        .resolve(streamKey, dispatcher.service())
        .whenComplete(
            (resolution, failure) -> {
              if (finished()) {
                return;
              }
              if (failure != null) {
                reject(Step.LOCATE, "version of the stream cannot be read: " + failure);
              } else {
                takeUp(resolution);
              }
            });
  }

  private void takeUp(StreamVersions.Resolution resolution) {
    version = resolution.version();
    recorder.takenUp(version.orElse("unknown"), resolution.source());
    if (version.isPresent()) {
      placeOrQueue();
    } else {
      rejectForGood(
          Step.LOCATE,
          "software version that began the stream is not known; request it from its beginning");
    }
  }

  /** Version of the server that brought the first event; others do not continue its stream. */
  @Override
  public Optional<String> requiredVersion() {
    return version;
  }

  private void onProgress(int newEvents) {
    gapMonitor.recordEvent();
    outputTokens +=
        (long) newEvents * server.engine().map(EngineCapacity::tokensPerEvent).orElse(1);
    if (!begun) {
      begun = true;
      version = Optional.of(server.entry().version());
      streamKey.ifPresent(key -> context.state().streamVersions().begin(key, version.get()));
    }
    crashGuard.onAnswerContinued();
    if (!firstEventReceived) {
      onFirstEvent();
    }
    reserveGrowth();
  }

  /** Increases the reservation of a generation that is longer than its caller estimated. */
  private void reserveGrowth() {
    long reservedTokens = reservedWork().memoryTokens();
    long requiredTokens = RequestDemand.memoryAfterGrowth(reservedTokens, usedTokens());
    if (requiredTokens > reservedTokens) {
      updateReservation(new OutstandingWork(1, 0, requiredTokens));
    }
  }

  private boolean streaming() {
    return response.status() == 200
        && response.signed()
        && !response.contentEncoded()
        && contentType != StreamContentType.OTHER;
  }

  /** Whether the server has said that it did not execute the request. */
  private boolean refused() {
    return response.notExecuted() || response.status() == 421;
  }

  private void onFirstEvent() {
    firstEventReceived = true;
    if (firstEventMillis < 0) {
      firstEventMillis = elapsedMillis();
      context
          .metrics()
          .histogram("forward.first_event_ms." + route.name())
          .update(firstEventMillis);
    }
    long sinceSend = System.nanoTime() - sentNanos;
    server.load().observeFirstToken(sinceSend, prefillTokensWhenSent);
    context
        .state()
        .loadSharing()
        .ifPresent(
            sharing ->
                sharing.recordFirstToken(
                    dispatcher.service(), server.load(), sinceSend, prefillTokensWhenSent));
    updateReservation(new OutstandingWork(1, 0, reservedWork().memoryTokens()));
    context.state().placeAllQueued();
    if (server.load().leaving()) {
      onServerLeaving(0);
    }
  }

  private void startResponse() {
    if (!responseStarted) {
      responseStarted = true;
      caller.startResponse(response.status(), headers);
    }
  }

  /**
   * Applies back-pressure: reads from the server only while the caller's connection is writable.
   */
  @Override
  public void onWritabilityChanged(boolean writable) {
    if (connection != null) {
      connection.setReading(writable);
    }
  }

  /** Moves the generation to another engine, after a delay. */
  void onServerLeaving(long delayNanos) {
    if (finished() || server == null || !firstEventReceived) {
      return;
    }
    move.startAfter(delayNanos);
  }

  @Override
  public void onComplete() {
    if (!streaming()) {
      onErrorResponse();
    } else if (reader.hasPartialEvent()
        || reader.eventCount() == 0
        || !contentType.mayEnd(reader.eventsSinceResume())) {
      onFailure("stream ended within an event or without one");
    } else {
      move.onStreamEnded(endsVisibly ? StreamEnd.COMPLETE : StreamEnd.POSSIBLY_COMPLETE);
    }
  }

  /** Delivers a stream that its server has ended. */
  void finishStream() {
    crashGuard.onAnswered();
    streamKey.ifPresent(key -> context.state().streamVersions().complete(key));
    server.load().health().recordSuccess();
    recorder.finished(response.status(), firstEventMillis);
    startResponse();
    caller.finishResponse();
    finish();
  }

  private void onErrorResponse() {
    BackendServer responder = server;
    responder.recordFailedAnswer(response);
    String reason = "server " + responder.entry().id() + " answered " + response.status();
    if (refused()) {
      if (!move.resumeAtSource(responder, reason)) {
        onRefusedByServer(reason);
      }
    } else if (responseStarted) {
      resumeOrFail(reason);
    } else if (response.successful()) {
      onFailure("answer is not the server's own");
    } else if (response.status() >= 500 && tryAcquireRetry()) {
      retry(reason);
    } else if (!UnprovenRefusal.fail(this, response, Step.STREAM)) {
      context.metrics().counter("forward.answers." + response.status()).inc();
      caller.send(response.status(), headers, errorBody.toByteArray());
      finish();
    }
  }

  @Override
  public void onFailure(String reason) {
    if (move.stopping()) {
      move.onStreamEnded(StreamEnd.BROKEN);
      return;
    }
    move.reset();
    move.onCopyUsed();
    recordConnectionLoss();
    server.load().health().recordFailure(System.nanoTime());
    reader.dropPartialEvent();
    if (!responseStarted) {
      if (tryAcquireRetry()) {
        retry(reason);
      } else {
        sendLocalReply(502, new DefaultHttpHeaders(), Step.STREAM, reason);
      }
      return;
    }
    resumeOrFail(reason);
  }

  /**
   * Resumes a stream that has stopped after its last event, or fails it if that is not possible.
   */
  void resumeOrFail(String reason) {
    reader.dropPartialEvent();
    if (route.repeatability() == Repeatability.RESUMABLE_STREAM && tryAcquireRetry()) {
      retry(reason);
    } else {
      failStream(Step.STREAM, reason);
    }
  }

  @Override
  boolean responseStarted() {
    return responseStarted;
  }

  /** Fails a stream that cannot be resumed; the connection is reset if the response has started. */
  void failStream(Step step, String reason) {
    if (responseStarted) {
      context.metrics().counter("forward.lost_streams").inc();
    }
    sendLocalReply(502, new DefaultHttpHeaders(), step, reason);
  }

  @Override
  void onServerUnavailable(String reason) {
    if (!move.resumeAtSource(server, reason)) {
      super.onServerUnavailable(reason);
    }
  }

  @Override
  void onConnectFailed(String reason) {
    if (!move.resumeAtSource(server, reason)) {
      onNotExecuted(Step.CONNECT, reason);
    }
  }

  /**
   * Resumes the stream at a server whose load already includes it.
   *
   * @param opened connection to the server, if one is held
   */
  void resumeAt(
      BackendServer target,
      OutstandingWork work,
      KvCacheReference kvCache,
      Optional<BackendConnection> opened) {
    reader.dropPartialEvent();
    move.reset();
    releaseServer();
    assignServer(target, work);
    ResumePoint resumePoint = new ResumePoint(reader.lastId(), Optional.of(kvCache));
    if (opened.filter(BackendConnection::usable).isPresent()) {
      send(opened.get(), resumePoint);
    } else {
      opened.ifPresent(BackendConnection::close);
      connect(resumePoint);
    }
  }

  /** Work that the generation adds to another engine. */
  OutstandingWork remainingWork() {
    return new OutstandingWork(1, 0, reservedWork().memoryTokens());
  }

  /** KV cache that the generation uses at its engine, in tokens. */
  long usedTokens() {
    return request.generationSize().map(GenerationSize::promptTokens).orElse(0) + outputTokens;
  }

  private void abandonServer(String reason) {
    connection.abandon();
    onFailure(reason);
  }

  @Override
  void onTimeout() {
    if (connection != null) {
      connection.abandon();
    }
    if (responseStarted) {
      failStream(Step.STREAM, "time limit reached");
    } else {
      sendLocalReply(504, new DefaultHttpHeaders(), Step.STREAM, "time limit reached");
    }
  }

  @Override
  void onFinished() {
    stopObservingDeparture();
    move.cancel();
    reader.dropPartialEvent();
    errorBody.clear();
    gapMonitor.stop();
  }

  @Override
  long outputTokens() {
    return outputTokens;
  }

  @Override
  int eventCount() {
    return reader.eventCount();
  }

  /** Gives up a server that sends no events while it has to. */
  private final class SilentServer implements EventGapMonitor.Listener {
    private boolean expectsEvents() {
      return !finished() && server != null && connection != null && !move.stopping();
    }

    @Override
    public void onSuspiciousGap() {
      if (!expectsEvents()) {
        return;
      }
      BackendServer probed = server;
      server
          .connections()
          .probe(
              reachable -> {
                if (!reachable && server == probed && connection != null) {
                  abandonServer("engine is silent and cannot be reached");
                }
              });
    }

    @Override
    public void onGapExceeded() {
      if (responseStarted && !finished() && server == null) {
        failStream(Step.ADMIT, "no room at any backend server that may continue the stream");
      } else if (expectsEvents()) {
        abandonServer("no event for " + gapMonitor.maxGap().toMillis() + " ms");
      }
    }
  }
}
