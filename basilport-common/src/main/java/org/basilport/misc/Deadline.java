package org.basilport.misc;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Time limits for asynchronous operations. */
public final class Deadline {

  private Deadline() {}

  /**
   * Returns a future that completes with the result of an operation, or fails when the time limit
   * is exceeded. The operation itself is not cancelled, since it may already have taken effect.
   *
   * @param limit time limit
   * @param failure creates the exception for an exceeded limit
   */
  public static <T> CompletableFuture<T> limit(
      CompletableFuture<T> operation,
      Scheduler scheduler,
      Duration limit,
      Supplier<? extends RuntimeException> failure) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Cancellable timer =
        scheduler.schedule(limit, () -> result.completeExceptionally(failure.get()));
    operation.whenComplete(
        (value, problem) -> {
          timer.cancel();
          if (problem == null) {
            result.complete(value);
          } else {
            result.completeExceptionally(problem);
          }
        });
    return result;
  }
}
