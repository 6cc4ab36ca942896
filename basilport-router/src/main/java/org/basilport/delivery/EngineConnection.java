package org.basilport.delivery;

import java.util.function.Function;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BasilportException;
import org.basilport.misc.Scheduler;

/** One token stream from an engine; forwards its callbacks to the traffic scheduler. */
final class EngineConnection implements TokenListener {
  /** Receives the events of a connection, on the traffic scheduler. */
  interface Listener {
    void onTokens(EngineConnection connection, TokenFrame frame);

    void onEnd(EngineConnection connection, GenerationEnd end);

    void onFailure(EngineConnection connection, BasilportException failure);
  }

  private final Scheduler traffic;
  private final Listener listener;
  private final boolean resumed;
  private TokenStream stream;
  private boolean closed;
  private int requestedFrames;
  private long lastFrameNanos;

  EngineConnection(Scheduler traffic, Listener listener, boolean resumed) {
    this.traffic = traffic;
    this.listener = listener;
    this.resumed = resumed;
    this.lastFrameNanos = traffic.nanoTime();
  }

  void open(Function<TokenListener, TokenStream> opener, int frames) {
    try {
      stream = opener.apply(this);
    } catch (BasilportException e) {
      onFailure(e);
      return;
    }
    requestFrames(frames);
  }

  /** Returns whether the connection reads a generation that an earlier connection started. */
  boolean resumed() {
    return resumed;
  }

  int requestedFrames() {
    return requestedFrames;
  }

  long lastFrameNanos() {
    return lastFrameNanos;
  }

  void requestFrames(int frames) {
    if (!closed && stream != null && frames > 0) {
      requestedFrames += frames;
      stream.request(frames);
    }
  }

  void close() {
    if (!closed) {
      closed = true;
      if (stream != null) {
        stream.close();
      }
    }
  }

  @Override
  public void onTokens(TokenFrame frame) {
    traffic.execute(
        () -> {
          requestedFrames--;
          lastFrameNanos = traffic.nanoTime();
          listener.onTokens(this, frame);
        });
  }

  @Override
  public void onEnd(GenerationEnd end) {
    traffic.execute(() -> listener.onEnd(this, end));
  }

  @Override
  public void onFailure(BasilportException failure) {
    traffic.execute(() -> listener.onFailure(this, failure));
  }
}
