package org.basilport.delivery;

import java.util.function.Function;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BasilportException;
import org.basilport.misc.Scheduler;

/** One connection of a session to an engine; passes callbacks on to the traffic scheduler. */
final class EngineLink implements TokenListener {
  /** Receives what arrives over a link, on the traffic scheduler. */
  interface Owner {
    void onTokens(EngineLink link, TokenFrame frame);

    void onEnd(EngineLink link, GenerationEnd end);

    void onFailure(EngineLink link, BasilportException failure);
  }

  private final Scheduler traffic;
  private final Owner owner;
  private final boolean resumes;
  private TokenStream stream;
  private boolean closed;
  private int credits;
  private long lastFrameNanos;

  EngineLink(Scheduler traffic, Owner owner, boolean resumes) {
    this.traffic = traffic;
    this.owner = owner;
    this.resumes = resumes;
    this.lastFrameNanos = traffic.nanoTime();
  }

  void open(Function<TokenListener, TokenStream> opener, int frames) {
    try {
      stream = opener.apply(this);
    } catch (BasilportException e) {
      onFailure(e);
      return;
    }
    request(frames);
  }

  /** Whether the link reads a generation that was started over an earlier link. */
  boolean resumes() {
    return resumes;
  }

  int credits() {
    return credits;
  }

  long lastFrameNanos() {
    return lastFrameNanos;
  }

  void request(int frames) {
    if (!closed && stream != null && frames > 0) {
      credits += frames;
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
          credits--;
          lastFrameNanos = traffic.nanoTime();
          owner.onTokens(this, frame);
        });
  }

  @Override
  public void onEnd(GenerationEnd end) {
    traffic.execute(() -> owner.onEnd(this, end));
  }

  @Override
  public void onFailure(BasilportException failure) {
    traffic.execute(() -> owner.onFailure(this, failure));
  }
}
