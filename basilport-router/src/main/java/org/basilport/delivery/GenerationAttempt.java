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
 * One generation at one engine, read over one connection after another. All state is confined to
 * the traffic scheduler.
 */
final class GenerationAttempt implements EngineLink.Owner {
  private static final Duration STALL_CHECK = Duration.ofSeconds(5);
  private static final int MAX_RECONNECTS = 5;
  // A stream cannot start again elsewhere, so a stalled link is given longer to come back.
  private static final int MAX_RECONNECTS_OF_STREAM = 20;

  /** Learns how the attempt goes; after an end, nothing follows. */
  interface Owner {
    /** The buffer holds more tokens. */
    void tokensArrived();

    /** The generation ended, and all its tokens are in the buffer. */
    void ended(GenerationEnd end);

    /** No byte reached the engine. */
    void notSent();

    /** The engine does not have the generation any more, or cannot be reached. */
    void engineLost(String reason);
  }

  private final DeliveryEnvironment environment;
  private final GenerationTask work;
  private final BackendServer server;
  private final String generationId;
  private final FrameBuffer buffer;
  private final Owner owner;
  private final Scheduler traffic;
  private EngineLink link;
  private Cancellable stallCheck = () -> {};
  private boolean over;
  private int reconnects;

  GenerationAttempt(
      DeliveryEnvironment environment,
      GenerationTask work,
      BackendServer server,
      String generationId,
      FrameBuffer buffer,
      Owner owner) {
    this.environment = environment;
    this.work = work;
    this.server = server;
    this.generationId = generationId;
    this.buffer = buffer;
    this.owner = owner;
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
            work.workspace(),
            work.request().prompt(),
            work.request().maxTokens(),
            priority);
    link = new EngineLink(traffic, this, false);
    link.open(target -> engine().generate(request, target), FrameBuffer.CAPACITY);
    watchForStalls();
  }

  /** Reads a generation that was sent before. */
  void resume() {
    reconnect();
    watchForStalls();
  }

  /** Allows the engine to send one more frame. */
  void requestFrame() {
    link.request(1);
  }

  /** Stops reading; the generation goes on at the engine. */
  void close() {
    over = true;
    stallCheck.cancel();
    link.close();
  }

  /** Stops reading and cancels the generation. */
  void cancel() {
    close();
    engine().cancel(generationId, false);
  }

  /** Stops reading, and cancels the generation unless somebody reads it again in time. */
  void abandon() {
    close();
    traffic.schedule(environment.resumeWindow(), () -> engine().cancel(generationId, true));
  }

  @Override
  public void onTokens(EngineLink from, TokenFrame frame) {
    if (from != link || over) {
      drop(frame);
      return;
    }
    switch (buffer.offer(frame)) {
      case ACCEPTED -> {
        reconnects = 0;
        owner.tokensArrived();
      }
      case DROPPED -> {
        drop(frame);
        link.request(1);
      }
      case GAP -> {
        drop(frame);
        reconnect();
      }
      default -> throw new IllegalStateException("unknown arrival");
    }
  }

  @Override
  public void onEnd(EngineLink from, GenerationEnd end) {
    if (from != link || over || !end.generationId().equals(generationId)) {
      environment.metrics().count("generation.framesDropped", work.workspace());
    } else if (end.totalTokens() > buffer.nextOffset()) {
      retry("the stream ended before its last token");
    } else if (end.totalTokens() < buffer.nextOffset()) {
      lose("the engine counted fewer tokens than it sent");
    } else {
      close();
      owner.ended(end);
    }
  }

  @Override
  public void onFailure(EngineLink from, BasilportException failure) {
    if (from != link || over) {
      return;
    }
    if (!link.resumes() && failure.outcome() == Outcome.NOT_RUN) {
      close();
      owner.notSent();
    } else if (failure.code() == FailureCode.NOT_FOUND) {
      lose("the engine does not have the generation");
    } else {
      retry(failure.getMessage());
    }
  }

  private void reconnect() {
    if (link != null) {
      link.close();
    }
    long offset = buffer.nextOffset();
    link = new EngineLink(traffic, this, true);
    link.open(
        target -> engine().resume(generationId, offset, target),
        FrameBuffer.CAPACITY - buffer.size());
  }

  private void retry(String reason) {
    link.close();
    reconnects++;
    boolean begun = buffer.deliveredOffset() > 0;
    if (reconnects > (begun ? MAX_RECONNECTS_OF_STREAM : MAX_RECONNECTS)) {
      lose(reason);
      return;
    }
    EngineLink failed = link;
    traffic.schedule(
        environment.reconnectDelays().delay(reconnects),
        () -> {
          if (link == failed && !over) {
            reconnect();
          }
        });
  }

  private void lose(String reason) {
    close();
    owner.engineLost(reason);
  }

  private void watchForStalls() {
    stallCheck = traffic.scheduleRepeating(STALL_CHECK, this::checkStall);
  }

  /** Reads over a new connection when nothing came for a while, since a link may stall silently. */
  private void checkStall() {
    long idle = traffic.nanoTime() - link.lastFrameNanos();
    if (!over && link.credits() > 0 && idle >= STALL_CHECK.toNanos()) {
      reconnect();
    }
  }

  private void drop(TokenFrame frame) {
    environment.metrics().count("generation.framesDropped", work.workspace());
    environment
        .events()
        .record(
            EventType.FRAME_DROPPED,
            EventSubject.request(work.requestId(), work.workspace()).withServer(server.id()),
            frame.generationId(),
            frame.offset(),
            buffer.nextOffset());
  }

  private ModelEngine engine() {
    return environment.engines().connect(server.address());
  }
}
