package org.basilport.standin.engine;

import java.time.Duration;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BasilportException;
import org.basilport.misc.Scheduler;

/**
 * A reader's token stream of a generation. Credits and offset are guarded by the engine's lock; the
 * listener is called on the scheduler without the lock.
 */
final class SimulatedReader implements TokenStream {
  private final SimulatedEngine engine;
  private final Scheduler scheduler;
  private final Duration latency;
  private final TokenListener listener;
  private volatile boolean closed;
  private boolean terminated;
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
      deliver(((EngineConnectionListener) listener)::onAccepted);
    }
  }

  void sendFrame(TokenFrame frame) {
    credits--;
    deliver(() -> listener.onTokens(frame));
  }

  void sendEnd(GenerationEnd end) {
    sendTerminal(() -> listener.onEnd(end));
  }

  void sendFailure(BasilportException failure) {
    sendTerminal(() -> listener.onFailure(failure));
  }

  private void sendTerminal(Runnable delivery) {
    if (!terminated) {
      terminated = true;
      deliver(
          () -> {
            closed = true;
            delivery.run();
          });
    }
  }

  private void deliver(Runnable delivery) {
    scheduler.schedule(
        latency,
        () -> {
          if (!closed) {
            delivery.run();
          }
        });
  }
}
