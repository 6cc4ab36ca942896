package org.basilport.daemon.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Counts requests whose response is not fully written, so that a shutdown cuts off none. The router
 * treats a stream as finished before its last events are written to the socket.
 */
final class OpenRequests implements Handler {
  private int openCount;
  private CompletableFuture<Void> idle = CompletableFuture.completedFuture(null);

  @Override
  public void handle(Context context) {
    begin();
    context.onClose(outcome -> end());
    context.next();
  }

  /** Completes when no request is open, or after the timeout. */
  synchronized CompletableFuture<Void> whenIdle(Duration timeout) {
    return idle.copy().completeOnTimeout(null, timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private synchronized void begin() {
    if (openCount == 0) {
      idle = new CompletableFuture<>();
    }
    openCount++;
  }

  private synchronized void end() {
    openCount--;
    if (openCount == 0) {
      idle.complete(null);
    }
  }
}
