package org.basilport.standin.engine;

import java.time.Duration;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BasilportException;
import org.basilport.misc.Scheduler;

/**
 * The reader's side of a stream. Credits and offset are guarded by the engine's lock; the listener
 * is called on the scheduler without the lock.
 */
final class SimulatedReader implements TokenStream {
  private final SimulatedEngine engine;
  private final Scheduler scheduler;
  private final Duration latency;
  private final TokenListener listener;
  private volatile boolean closed;
  private boolean ending;
  SimulatedGeneration generation;
  long credits;
  long nextOffset;

  SimulatedReader(
      SimulatedEngine engine, Scheduler scheduler, Duration latency, TokenListener listener) {
    this.engine = engine;
    this.scheduler = scheduler;
    this.latency = latency;
    this.listener = listener;
  }

  @Override
  public void request(int frames) {
    engine.requestFrames(this, frames);
  }

  @Override
  public void close() {
    closed = true;
    engine.detach(this);
  }

  boolean closed() {
    return closed;
  }

  void sendAccepted() {
    if (listener instanceof EngineConnectionListener) {
      post(((EngineConnectionListener) listener)::onAccepted);
    }
  }

  void sendFrame(TokenFrame frame) {
    credits--;
    post(() -> listener.onTokens(frame));
  }

  void sendEnd(GenerationEnd end) {
    sendLast(() -> listener.onEnd(end));
  }

  void sendFailure(BasilportException failure) {
    sendLast(() -> listener.onFailure(failure));
  }

  private void sendLast(Runnable call) {
    if (!ending) {
      ending = true;
      post(
          () -> {
            closed = true;
            call.run();
          });
    }
  }

  private void post(Runnable call) {
    scheduler.schedule(
        latency,
        () -> {
          if (!closed) {
            call.run();
          }
        });
  }
}
