package org.basilport.delivery;

import java.time.Duration;
import org.basilport.backend.BackendServer;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.TokenFrame;
import org.basilport.error.BasilportException;
import org.basilport.error.FailureCode;
import org.basilport.error.Outcome;
import org.basilport.event.EventSubject;
import org.basilport.event.EventType;
import org.basilport.misc.Cancellable;
import org.basilport.misc.Scheduler;

/**
 * One generation on one engine, read over one connection at a time and reconnected as needed. All
 * state is confined to the traffic scheduler.
 */
final class GenerationAttempt implements EngineConnection.Listener {
  private static final Duration STALL_TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_RECONNECTS = 5;
  // After the first token the generation cannot be retried on another engine, so a lost connection
  // gets more reconnection attempts.
  private static final int MAX_RECONNECTS_AFTER_FIRST_TOKEN = 20;

  /** Receives the progress of an attempt; no call follows a terminal one. */
  interface Listener {
    /** New tokens were added to the buffer. */
    void onTokensBuffered();

    /** Terminal: the generation ended, and all its tokens are in the buffer. */
    void onEnd(GenerationEnd end);

    /** Terminal: the request did not reach the engine. */
    void onNotSent();

    /** Terminal: the engine no longer has the generation, or cannot be reached. */
    void onEngineLost(String reason);
  }

  private final DeliveryEnvironment environment;
  private final GenerationTask task;
  private final BackendServer server;
  private final String generationId;
  private final FrameBuffer buffer;
  private final Listener listener;
  private final Scheduler traffic;
  private EngineConnection connection;
  private Cancellable stallCheck = () -> {};
  private boolean closed;
  private int reconnects;

  GenerationAttempt(
      DeliveryEnvironment environment,
      GenerationTask task,
      BackendServer server,
      String generationId,
      FrameBuffer buffer,
      Listener listener) {
    this.environment = environment;
    this.task = task;
    this.server = server;
    this.generationId = generationId;
    this.buffer = buffer;
    this.listener = listener;
    this.traffic = environment.traffic();
  }

  BackendServer server() {
    return server;
  }

  String generationId() {
    return generationId;
  }

  /** Sends the generation to the engine. */
  void start(int priority) {
    EngineRequest request =
        new EngineRequest(
            generationId,
            task.workspace(),
            task.request().prompt(),
            task.request().maxTokens(),
            priority);
    connection = new EngineConnection(traffic, this, false);
    connection.open(
        tokenListener -> engine().generate(request, tokenListener), FrameBuffer.CAPACITY);
    startStallChecks();
  }

  /** Reads a generation that was started earlier. */
  void resume() {
    reconnect();
    startStallChecks();
  }

  /** Requests one more frame from the engine. */
  void requestFrame() {
    connection.requestFrames(1);
  }

  /** Stops reading; the generation continues on the engine. */
  void close() {
    closed = true;
    stallCheck.cancel();
    connection.close();
  }

  /** Stops reading and cancels the generation. */
  void cancel() {
    close();
    engine().cancel(generationId, false);
  }

  /** Stops reading, and cancels the generation unless it is resumed within the resume window. */
  void abandon() {
    close();
    traffic.schedule(environment.resumeWindow(), () -> engine().cancel(generationId, true));
  }

  @Override
  public void onTokens(EngineConnection source, TokenFrame frame) {
    if (source != connection || closed) {
      recordDroppedFrame(frame);
      return;
    }
    switch (buffer.offer(frame)) {
      case ACCEPTED -> {
        reconnects = 0;
        listener.onTokensBuffered();
      }
      case DROPPED -> {
        recordDroppedFrame(frame);
        connection.requestFrames(1);
      }
      case GAP -> {
        recordDroppedFrame(frame);
        reconnect();
      }
      default -> throw new IllegalStateException("unknown result of offering a frame");
    }
  }

  @Override
  public void onEnd(EngineConnection source, GenerationEnd end) {
    if (source != connection || closed || !end.generationId().equals(generationId)) {
      environment.metrics().count("generation.framesDropped", task.workspace());
    } else if (end.totalTokens() > buffer.nextOffset()) {
      reconnectLater("the stream ended before its last token");
    } else if (end.totalTokens() < buffer.nextOffset()) {
      reportLoss("the engine counted fewer tokens than it sent");
    } else {
      close();
      listener.onEnd(end);
    }
  }

  @Override
  public void onFailure(EngineConnection source, BasilportException failure) {
    if (source != connection || closed) {
      return;
    }
    if (!connection.resumed() && failure.outcome() == Outcome.NOT_RUN) {
      close();
      listener.onNotSent();
    } else if (failure.code() == FailureCode.NOT_FOUND) {
      reportLoss("the engine does not have the generation");
    } else {
      reconnectLater(failure.getMessage());
    }
  }

  private void reconnect() {
    if (connection != null) {
      connection.close();
    }
    long offset = buffer.nextOffset();
    connection = new EngineConnection(traffic, this, true);
    connection.open(
        tokenListener -> engine().resume(generationId, offset, tokenListener),
        FrameBuffer.CAPACITY - buffer.size());
  }

  private void reconnectLater(String reason) {
    connection.close();
    reconnects++;
    boolean deliveryStarted = buffer.deliveredOffset() > 0;
    if (reconnects > (deliveryStarted ? MAX_RECONNECTS_AFTER_FIRST_TOKEN : MAX_RECONNECTS)) {
      reportLoss(reason);
      return;
    }
    EngineConnection failed = connection;
    traffic.schedule(
        environment.reconnectBackoff().delay(reconnects),
        () -> {
          if (connection == failed && !closed) {
            reconnect();
          }
        });
  }

  private void reportLoss(String reason) {
    close();
    listener.onEngineLost(reason);
  }

  private void startStallChecks() {
    stallCheck = traffic.scheduleRepeating(STALL_TIMEOUT, this::checkStall);
  }

  /**
   * Reconnects when no frame arrived within the timeout; a connection may stall without an error.
   */
  private void checkStall() {
    long idle = traffic.nanoTime() - connection.lastFrameNanos();
    if (!closed && connection.requestedFrames() > 0 && idle >= STALL_TIMEOUT.toNanos()) {
      reconnect();
    }
  }

  private void recordDroppedFrame(TokenFrame frame) {
    environment.metrics().count("generation.framesDropped", task.workspace());
    environment
        .events()
        .record(
            EventType.FRAME_DROPPED,
            EventSubject.request(task.requestId(), task.workspace()).withServer(server.id()),
            frame.generationId(),
            frame.offset(),
            buffer.nextOffset());
  }

  private ModelEngine engine() {
    return environment.engines().connect(server.address());
  }
}
