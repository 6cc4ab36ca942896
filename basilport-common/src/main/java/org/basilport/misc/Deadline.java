package org.basilport.misc;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Limits the time that an asynchronous operation may take. */
public final class Deadline {

  private Deadline() {}

  /**
   * Returns a future with the result of an operation, which fails when the result does not arrive
   * in time. The operation itself is not cancelled, since its effect may still happen.
   *
   * @param failure creates the failure after the limit
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
