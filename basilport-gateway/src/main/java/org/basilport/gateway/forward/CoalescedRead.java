package org.basilport.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Shares reads among requests: each request gets the result of a read that started after it, and
 * reads start at a limited rate. Confined to the event loop thread.
 */
final class CoalescedRead<T> {
  private final EventLoop eventLoop;
  private final Supplier<CompletableFuture<T>> source;
  private final LongSupplier intervalNanos;
  private List<CompletableFuture<T>> waiting = new ArrayList<>();
  private boolean scheduled;
  private long earliestStartNanos = System.nanoTime();

  CoalescedRead(
      EventLoop eventLoop, Supplier<CompletableFuture<T>> source, LongSupplier intervalNanos) {
    this.eventLoop = eventLoop;
    this.source = source;
    this.intervalNanos = intervalNanos;
  }

  /** Returns the result of the next read. */
  CompletableFuture<T> read() {
    CompletableFuture<T> result = new CompletableFuture<>();
    waiting.add(result);
    if (!scheduled) {
      scheduled = true;
      long delayNanos = Math.max(0, earliestStartNanos - System.nanoTime());
      eventLoop.schedule(this::start, delayNanos, TimeUnit.NANOSECONDS);
    }
    return result;
  }

  private void start() {
    scheduled = false;
    earliestStartNanos = System.nanoTime() + intervalNanos.getAsLong();
    List<CompletableFuture<T>> served = waiting;
    waiting = new ArrayList<>();
    source
        .get()
        .whenCompleteAsync(
            (value, failure) ->
                served.forEach(
                    result -> {
                      if (failure == null) {
                        result.complete(value);
                      } else {
                        result.completeExceptionally(failure);
                      }
                    }),
            eventLoop);
  }
}
