package org.basilport.standin.contract;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.error.BasilportException;

/** Records all frames and the end of a stream. */
final class RecordingListener implements TokenListener {
  final CompletableFuture<GenerationEnd> end = new CompletableFuture<>();
  private final List<TokenFrame> frames = new ArrayList<>();

  synchronized List<TokenFrame> frames() {
    return List.copyOf(frames);
  }

  synchronized long tokens() {
    return frames.stream().mapToLong(frame -> frame.tokens().size()).sum();
  }

  synchronized String text() {
    StringBuilder text = new StringBuilder();
    frames.forEach(frame -> frame.tokens().forEach(text::append));
    return text.toString();
  }

  @Override
  public synchronized void onTokens(TokenFrame frame) {
    frames.add(frame);
  }

  @Override
  public void onEnd(GenerationEnd ended) {
    end.complete(ended);
  }

  @Override
  public void onFailure(BasilportException failure) {
    end.completeExceptionally(failure);
  }
}
